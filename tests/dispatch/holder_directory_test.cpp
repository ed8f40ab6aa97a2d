#include <boost/test/unit_test.hpp>

#include "core/dispatch/holder_directory.hpp"

namespace figridge::dispatch {
namespace {

const process_id host_a{"10.1.0.1:1", 11};
const process_id host_b{"10.1.0.2:1", 12};
const process_id remote{"10.2.0.1:1", 13};

// Two endpoints of domain-1, which has the hosts a and b.
struct directory_fixture {
    directory_fixture() {
        add_endpoint("endpoint-1");
        add_endpoint("endpoint-2");
    }

    void add_endpoint(const std::string& id) {
        endpoint_record endpoint;
        endpoint.id = id;
        endpoint.failure_domain = "domain-1";
        directory.set_endpoint(endpoint);
    }

    void hold(const std::string& endpoint, const process_id& holder,
              std::uint64_t token) {
        directory.set_holder(now, {endpoint, "domain-1", holder, token, token});
    }

    [[nodiscard]] std::size_t wanted_by(const process_id& self,
                                        std::vector<candidate> live) const {
        return directory.endpoints_to_take(now, self, live).size();
    }

    static candidate local(const process_id& id, bool draining = false) {
        return {id, "domain-1", 0.25, draining};
    }
    static candidate distant(const process_id& id) {
        return {id, "domain-2", 0.25, false};
    }

    timestamp now{100s};
    holder_directory directory;
};

BOOST_FIXTURE_TEST_SUITE(holder_directory_test, directory_fixture)

BOOST_AUTO_TEST_CASE(exactly_one_host_takes_new_endpoints) {
    const std::vector<candidate> live{local(host_a), local(host_b)};
    BOOST_TEST(wanted_by(host_a, live) + wanted_by(host_b, live) == 2U);
}

BOOST_AUTO_TEST_CASE(new_endpoint_goes_to_the_host_that_holds_the_others) {
    const std::vector<candidate> live{local(host_a), local(host_b)};
    for (const auto& holder : {host_a, host_b}) {
        hold("endpoint-1", holder, 1 + holder.incarnation);
        hold("endpoint-2", holder, 1 + holder.incarnation);
        add_endpoint("endpoint-3");
        BOOST_TEST(wanted_by(holder, live) == 1U);
    }
}

BOOST_AUTO_TEST_CASE(live_holder_keeps_its_endpoints) {
    hold("endpoint-1", host_a, 1);
    hold("endpoint-2", host_a, 1);
    BOOST_TEST(wanted_by(host_b, {local(host_a), local(host_b)}) == 0U);
}

BOOST_AUTO_TEST_CASE(successor_takes_the_endpoints_of_a_lost_holder) {
    hold("endpoint-1", host_a, 1);
    hold("endpoint-2", host_a, 1);
    BOOST_TEST(wanted_by(host_b, {local(host_b)}) == 2U);
}

BOOST_AUTO_TEST_CASE(successor_takes_the_endpoints_of_a_draining_holder) {
    hold("endpoint-1", host_a, 1);
    hold("endpoint-2", host_a, 1);
    BOOST_TEST(wanted_by(host_b, {local(host_a, true), local(host_b)}) == 2U);
}

BOOST_AUTO_TEST_CASE(restarted_holder_takes_over_its_former_endpoints) {
    hold("endpoint-1", host_a, 1);
    hold("endpoint-2", host_a, 1);
    const process_id restarted{host_a.address, 99};
    BOOST_TEST(wanted_by(restarted, {local(restarted)}) == 2U);
}

BOOST_AUTO_TEST_CASE(other_failure_domain_serves_only_without_local_hosts) {
    hold("endpoint-1", host_a, 1);
    hold("endpoint-2", host_a, 1);
    BOOST_TEST(wanted_by(remote, {local(host_b), distant(remote)}) == 0U);
    BOOST_TEST(wanted_by(remote, {distant(remote)}) == 2U);
}

BOOST_AUTO_TEST_CASE(local_host_takes_back_from_another_failure_domain) {
    hold("endpoint-1", remote, 2);
    hold("endpoint-2", remote, 2);
    BOOST_TEST(wanted_by(host_b, {local(host_b), distant(remote)}) == 2U);
}

BOOST_AUTO_TEST_CASE(endpoint_that_changes_holder_often_is_not_taken) {
    for (std::uint64_t token = 1; token <= 4; ++token) {
        hold("endpoint-1", token % 2 == 0 ? host_a : host_b, token);
        hold("endpoint-2", token % 2 == 0 ? host_a : host_b, token);
    }
    BOOST_TEST(wanted_by(host_b, {local(host_b)}) == 0U);
    now += 4s;
    BOOST_TEST(wanted_by(host_b, {local(host_b)}) == 2U);
}

// 120 endpoints on hosts of 0.5, 0.25 and 0.12 cores.
BOOST_AUTO_TEST_CASE(small_hosts_hold_only_what_larger_ones_cannot) {
    for (int i = 3; i <= 120; ++i) {
        add_endpoint("endpoint-" + std::to_string(i));
    }
    std::vector<candidate> live;
    for (int i = 0; i < 6; ++i) {
        const process_id id{"10.3.0." + std::to_string(i) + ":1", 20};
        live.push_back({id, "domain-1",
                        i < 3   ? 0.5
                        : i < 5 ? 0.25
                                : 0.12,
                        false});
    }
    std::size_t total = 0;
    for (const auto& host : live) {
        const auto part = wanted_by(host.id, live);
        total += part;
        BOOST_TEST(static_cast<double>(part) <= host.cpu_share * 72 * 2);
    }
    BOOST_TEST(total == 120U);
    BOOST_TEST(wanted_by(live[5].id, live) == 0U);
}

BOOST_AUTO_TEST_CASE(overloaded_holder_gives_endpoints_away) {
    for (int i = 1; i <= 40; ++i) {
        add_endpoint("endpoint-" + std::to_string(i));
        hold("endpoint-" + std::to_string(i), host_a, 1);
    }
    BOOST_TEST(wanted_by(host_b, {local(host_a)}) == 0U);
    const auto moved = wanted_by(host_b, {local(host_a), local(host_b)});
    BOOST_TEST(moved > 10U);
    BOOST_TEST(moved < 30U);
}

BOOST_AUTO_TEST_CASE(lower_token_changes_nothing) {
    hold("endpoint-1", host_a, 5);
    hold("endpoint-1", host_b, 4);
    BOOST_TEST((directory.holder_of("endpoint-1")->holder == host_a));
}

// A coordinator that does not follow the endpoint list still needs all
// endpoints on which a lost holder may have started tasks.
BOOST_AUTO_TEST_CASE(unlisted_endpoints_count_as_held) {
    hold("endpoint-9", host_a, 1);
    BOOST_TEST(directory.held_by(host_a).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace
} // namespace figridge::dispatch
