# Shortcuts; see docs/guide.md. Most install missing packages and build first.
BUILD ?= build/release
SEEDS ?= 0
export BUILD SEEDS FIRST

.PHONY: packages build test demo mutants faults soak bench capacity format clean

packages:
	@scripts/install_packages.sh

build: packages
	@cmake --preset release >/dev/null
	@cmake --build --preset release

test: build
	@scripts/known_red.sh ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	@scripts/demo.sh
	@scripts/platform_demo.sh

mutants: build
	@scripts/mutants.sh

faults: build
	@scripts/faults.sh

soak: build
	@scripts/soak.sh

bench: build
	@scripts/bench.sh

capacity: build
	@scripts/capacity.sh

format:
	@git ls-files '*.cpp' '*.hpp' | xargs clang-format -i

clean:
	@rm -rf build
