// A crowd of callers that send bodies at or over the limits and, for most
// kinds, stop just short of the end and stay connected; or that send whole jobs
// inside the limits, all at the same time.
//
// Prints `open=N closed=N` once each connection has sent all it is going to
// send or has been closed, and closes them when its standard input ends. Of
// whole jobs, it prints how many got each status, and how many no answer.
// Callers of the kind `unread_answers` send requests in a row and read nothing.
#include <algorithm>
#include <cerrno>
#include <iostream>
#include <limits>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <absl/strings/str_cat.h>
#include <absl/strings/str_format.h>
#include <absl/strings/str_join.h>
#include <gflags/gflags.h>

#include "adapters/socket_address.hpp"

DEFINE_string(host, "", "Address of the host for callers.");
DEFINE_string(
    kind, "whole",
    "whole, pieces, one_chunk, small_chunks, announced or unlimited; whole "
    "jobs: long_specs, short_specs, padded_jobs, long_labels or long_racks; "
    "or unread_answers.");
DEFINE_uint32(connections, 700, "Connections opened at once.");
DEFINE_uint32(body_bytes, 262'000, "Length of the bodies within the limit.");
DEFINE_uint32(sent_bytes, 600'000, "Bytes sent of a body over the limit.");
DEFINE_uint32(idle_ms, 2'000,
              "A crowd none of which can send for this long is complete.");

namespace figridge::testing {
namespace {

constexpr std::uint32_t missing_bytes = 40;
constexpr std::uint32_t announced_bytes = 50'000'000;
constexpr std::size_t piece_bytes = 4096;
constexpr std::size_t write_bytes = 65'536;
constexpr std::size_t max_spec_bytes = 4000;
constexpr std::size_t short_spec_bytes = 40;
constexpr std::size_t long_name_bytes = 20'000;
constexpr std::size_t requests_in_a_row = 300;
constexpr int poll_ms = 50;
constexpr int exit_usage = 2;

struct caller {
    int socket = -1;
    std::shared_ptr<const std::string> request;
    std::size_t sent = 0;
    std::string answer; // the first bytes
};

// What a crowd does beside sending.
enum class reading { discard_answers, wait_for_answers, nothing };

std::string make_chunk(std::size_t size) {
    return absl::StrCat(absl::Hex(size), "\r\n", std::string(size, 'x'),
                        "\r\n");
}

// What each connection sends; empty if the kind is unknown.
std::string make_request(const std::string& kind) {
    std::string text = "POST /jobs/0123456789abcdef HTTP/1.1\r\n"
                       "Host: figridge.example\r\nX-Deadline-Ms: 1500\r\n";
    const auto announce = [&text](std::size_t length, std::size_t sent) {
        absl::StrAppend(&text, "Content-Length: ", length, "\r\n\r\n",
                        std::string(sent, 'x'));
    };
    const auto chunks = [&text](std::size_t size, std::size_t total) {
        text += "Transfer-Encoding: chunked\r\n\r\n";
        const auto chunk = make_chunk(size);
        for (std::size_t sent = 0; sent < total; sent += size) {
            text += chunk;
        }
    };
    if (kind == "whole" || kind == "pieces") {
        announce(FLAGS_body_bytes, FLAGS_body_bytes - missing_bytes);
    } else if (kind == "one_chunk") {
        chunks(FLAGS_body_bytes, FLAGS_body_bytes);
    } else if (kind == "small_chunks") {
        chunks(10, FLAGS_body_bytes - missing_bytes);
    } else if (kind == "announced") {
        announce(announced_bytes, FLAGS_sent_bytes);
    } else if (kind == "unlimited") {
        chunks(piece_bytes, FLAGS_sent_bytes);
    } else {
        return {};
    }
    return text;
}

// The body of a job that the limits allow; empty if the kind is unknown.
std::string make_job(const std::string& kind) {
    const bool is_short = kind == "short_specs";
    if (!is_short && kind != "long_specs" && kind != "padded_jobs" &&
        kind != "long_labels" && kind != "long_racks") {
        return {};
    }
    std::string spec = "ms=900 ";
    spec.resize(is_short ? short_spec_bytes : max_spec_bytes, 'x');
    std::string placement;
    if (kind == "long_labels" || kind == "long_racks") {
        placement = absl::StrCat(kind == "long_labels" ? R"(,"requires":")"
                                                       : R"(,"affinity":")",
                                 std::string(long_name_bytes, 'x'), "\"");
    }
    auto body =
        absl::StrCat(R"({"spec":")", spec,
                     R"(","steps":[{"count":250,"cpu":1,"estimate-ms":900)",
                     placement, R"(}],"best-effort":true})");
    if (kind == "padded_jobs") {
        body.resize(std::max<std::size_t>(body.size(), FLAGS_body_bytes), ' ');
    }
    return body;
}

// Each caller submits jobs of its own.
std::string make_submission(std::size_t number, const std::string& body) {
    return absl::StrCat("POST /jobs/", absl::StrFormat("c%015x", number),
                        " HTTP/1.1\r\n",
                        "Host: figridge.example\r\nX-Deadline-Ms: 5000\r\n",
                        "Content-Length: ", body.size(), "\r\n\r\n", body);
}

// Many submissions of small jobs, which are sent without a pause.
std::string make_row_of_submissions(std::size_t number) {
    std::string text;
    for (std::size_t i = 0; i < requests_in_a_row; ++i) {
        text += make_submission(
            number * requests_in_a_row + i,
            R"({"spec":"ms=200","steps":[{"count":1,"cpu":1,"estimate-ms":200}],)"
            R"("best-effort":true})");
    }
    return text;
}

bool open_caller(const sockaddr_in& address, caller& opened) {
    opened.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    const auto* raw = reinterpret_cast<const sockaddr*>(&address);
    return opened.socket >= 0 &&
           (connect(opened.socket, raw, sizeof(address)) == 0 ||
            errno == EINPROGRESS);
}

void close_caller(caller& ended) {
    close(ended.socket);
    ended.socket = -1;
}

// Sends as much as the connection takes; returns the number of bytes.
std::size_t advance(caller& one, std::size_t step) {
    const auto& request = *one.request;
    const auto length = std::min(step, request.size() - one.sent);
    const auto count =
        send(one.socket, request.data() + one.sent, length, MSG_NOSIGNAL);
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            close_caller(one);
        }
        return 0;
    }
    one.sent += static_cast<std::size_t>(count);
    return static_cast<std::size_t>(count);
}

// Keeps the first bytes of answers; returns false if the host has closed the
// connection.
bool is_still_open(caller& one) {
    std::string answer(piece_bytes, '\0');
    const auto count =
        recv(one.socket, answer.data(), answer.size(), MSG_DONTWAIT);
    if (count > 0 && one.answer.empty()) {
        one.answer.assign(answer, 0, static_cast<std::size_t>(count));
    }
    return count > 0 || (count < 0 && (errno == EAGAIN || errno == EINTR));
}

// Plays the crowd until nothing is left to send or to wait for, or until
// nothing happens any more.
void play(std::vector<caller>& crowd, std::size_t step, reading answers) {
    const bool waits = answers == reading::wait_for_answers;
    const int input = answers == reading::nothing ? 0 : POLLIN;
    std::uint32_t waited_ms = 0;
    while (waited_ms < FLAGS_idle_ms) {
        std::vector<pollfd> waiting;
        std::vector<caller*> callers;
        for (auto& one : crowd) {
            const bool sends = one.sent < one.request->size();
            if (one.socket >= 0 && (sends || (waits && one.answer.empty()))) {
                const auto events = sends ? input | POLLOUT : input;
                waiting.push_back({one.socket, static_cast<short>(events), 0});
                callers.push_back(&one);
            }
        }
        if (waiting.empty()) {
            return;
        }
        poll(waiting.data(), waiting.size(), poll_ms);
        std::size_t progress = 0;
        for (std::size_t i = 0; i < waiting.size(); ++i) {
            auto& one = *callers[i];
            const bool was_answered = !one.answer.empty();
            if ((waiting[i].revents & (POLLIN | POLLERR | POLLHUP)) != 0 &&
                !is_still_open(one)) {
                close_caller(one);
            } else if ((waiting[i].revents & POLLOUT) != 0) {
                progress += advance(one, step);
            }
            progress += was_answered == one.answer.empty() ? 1 : 0;
        }
        waited_ms = progress > 0 ? 0 : waited_ms + poll_ms;
    }
}

// The number of callers by the status that they got, "none" without one.
std::string count_answers(const std::vector<caller>& crowd) {
    constexpr std::string_view version = "HTTP/1.1 ";
    constexpr std::size_t status_length = 3;
    std::map<std::string, std::size_t> counts;
    for (const auto& one : crowd) {
        const bool answered = one.answer.starts_with(version);
        counts[answered ? one.answer.substr(version.size(), status_length)
                        : "none"] += 1;
    }
    return absl::StrJoin(counts, " ", absl::PairFormatter("="));
}

int run() {
    const auto address = parse_socket_address(FLAGS_host);
    const auto job = make_job(FLAGS_kind);
    const auto request =
        std::make_shared<const std::string>(make_request(FLAGS_kind));
    auto answers = reading::discard_answers;
    if (!job.empty()) {
        answers = reading::wait_for_answers;
    } else if (FLAGS_kind == "unread_answers") {
        answers = reading::nothing;
    } else if (request->empty()) {
        std::cerr << "caller_crowd: invalid --kind\n";
        return exit_usage;
    }
    if (!address.ok()) {
        std::cerr << "caller_crowd: invalid --host\n";
        return exit_usage;
    }
    std::vector<caller> crowd(FLAGS_connections);
    for (std::size_t i = 0; i < crowd.size(); ++i) {
        auto& one = crowd[i];
        one.request = request;
        if (answers == reading::wait_for_answers) {
            one.request = std::make_shared<const std::string>(
                make_submission(i + 1, job));
        } else if (answers == reading::nothing) {
            one.request = std::make_shared<const std::string>(
                make_row_of_submissions(i + 1));
        }
        if (!open_caller(*address, one)) {
            close_caller(one);
        }
    }
    play(crowd, FLAGS_kind == "pieces" ? piece_bytes : write_bytes, answers);
    const auto closed =
        std::count_if(crowd.begin(), crowd.end(), [](caller& one) {
            return one.socket < 0 || !is_still_open(one);
        });
    std::cout << "open=" << crowd.size() - static_cast<std::size_t>(closed)
              << " closed=" << closed;
    if (!job.empty()) {
        std::cout << ' ' << count_answers(crowd);
    }
    std::cout << std::endl;
    std::cin.ignore(std::numeric_limits<std::streamsize>::max());
    return 0;
}

} // namespace
} // namespace figridge::testing

int main(int argc, char** argv) {
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    return figridge::testing::run();
}
