// What the state of each role costs at several sizes, in time and memory:
// one JSON line per size. No check: docs/CAPACITY.md quotes its figures.

#include <chrono>
#include <iostream>

#include <malloc.h>
#include <nlohmann/json.hpp>

#include "control/state_machine.hpp"
#include "policy/pool_scheduler.hpp"

namespace poplarroute::tests::load
{

namespace
{

using nlohmann::json;

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

class stopwatch
{
public:
    double us() const
    {
        const std::chrono::duration<double, std::micro> span =
            std::chrono::steady_clock::now() - began_;
        return span.count();
    }

private:
    std::chrono::steady_clock::time_point began_ =
        std::chrono::steady_clock::now();
};

void print(const json& row)
{
    std::cout << row.dump() << std::endl;
}

/// An address that does not repeat, as in a real fleet.
std::string address(int number)
{
    return "10." + std::to_string(number * 7 % 200) + "." +
           std::to_string(number * 131 % 250) + "." +
           std::to_string(number % 250) + ":" +
           std::to_string(7'000 + number * 17 % 1'000);
}

std::string fleet_text(int hosts, int accounts, int endpoints)
{
    std::string out = "[organisation]\nname = Target\n";
    for (int zone = 0; zone < 5; ++zone)
    {
        out += "[availability_zone z" + std::to_string(zone) + "]\nregion = r" +
               std::to_string(zone / 3) + "\n";
    }
    for (int host = 0; host < hosts; ++host)
    {
        out += "[host h" + std::to_string(host) + "]\navailability_zone = z" +
               std::to_string(host % 5) + "\npeer = " + address(host) + "\n";
    }
    for (int account = 0; account < accounts; ++account)
    {
        out += "[account a" + std::to_string(account) +
               "]\nrate = " + std::to_string(4'000 + account * 37 % 9'000) +
               "\nburst = 400000\n";
    }
    for (int service = 0; service < 4; ++service)
    {
        out += "[service s" + std::to_string(service) + "]\n";
    }
    for (int endpoint = 0; endpoint < endpoints; ++endpoint)
    {
        out += "[endpoint e" + std::to_string(endpoint) + "]\nservice = s" +
               std::to_string(endpoint % 4) + "\navailability_zone = z" +
               std::to_string(endpoint % 5) +
               "\naddress = " + address(endpoint) +
               "\ncapacity = 40\nrole = decode\n";
    }
    return out;
}

void cost_of_claims(int count)
{
    control::state_machine machine;
    const std::size_t before = heap_bytes();
    const stopwatch timer;
    for (int number = 0; number < count; ++number)
    {
        const std::string key = "visit-" + std::to_string(number);
        const std::string attempt = "host-1.1796356557896." + key;
        machine.apply(control::encode(control::claim_call{
            "account-1", key, std::string(64, 'd'), attempt, 1}));
        machine.apply(control::encode(control::record_outcome{
            "account-1",
            key,
            attempt,
            200,
            "application/json",
            std::string(60, 'b')}));
    }
    const double us = timer.us();
    const std::size_t held = heap_bytes() - before;
    const stopwatch encoding;
    const std::size_t size = machine.encode().size();
    print(
        {{"what", "claims"},
         {"claims", count},
         {"bytes_each", held / static_cast<std::size_t>(count)},
         {"us_each", us / count},
         {"snapshot_bytes_each", size / static_cast<std::size_t>(count)},
         {"snapshot_ms", encoding.us() / 1'000}});
}

void cost_of_directory(int hosts, int accounts, int endpoints)
{
    control::directory fleet;
    const std::size_t before = heap_bytes();
    control::submit_configuration order;
    order.text_ = fleet_text(hosts, accounts, endpoints);
    const stopwatch timer;
    const auto reply = fleet.apply(order);
    const double us = timer.us();
    const std::size_t held = heap_bytes() - before;
    const stopwatch sharing;
    std::int64_t sum = 0;
    for (int account = 0; account < accounts; ++account)
    {
        sum += fleet.share_of("h1", "a" + std::to_string(account)).rate_;
    }
    print(
        {{"what", "directory"},
         {"hosts", hosts},
         {"accounts", accounts},
         {"endpoints", endpoints},
         {"accepted", reply.verdict_ == control::verdict::accepted},
         {"memory_bytes", held},
         {"apply_ms", us / 1'000},
         {"shares_ms", sharing.us() / 1'000},
         {"share_sum", sum},
         {"change_bytes", control::encode(order).size()},
         {"whole_bytes", fleet.encode().size()}});
}

void cost_of_pool(int engines)
{
    core::time_point now{1'000'000};
    policy::pool_scheduler owner(policy::reserve_first(), now);
    std::vector<policy::endpoint_config> facts;
    for (int at = 0; at < engines; ++at)
    {
        const auto kind = at % 3 == 0 ? policy::work_kind::prefill_only
                                      : policy::work_kind::decode_only;
        facts.push_back({"e" + std::to_string(at), "", kind, 40, 20, false});
    }
    const std::size_t before = heap_bytes();
    owner.set_endpoints(facts, now);
    std::uint64_t number = 0;
    constexpr int requests = 20'000;
    std::vector<core::attempt_id> running;
    const stopwatch timer;
    for (int turn = 0; turn < requests; ++turn)
    {
        now = now + core::duration{5};
        if (turn % 40 == 0)
        {
            for (const policy::endpoint_config& item : facts)
            {
                owner.report({item.name_, "b", {}, 0}, now);
            }
        }
        policy::pool_request item;
        item.attempt_ = {"h", 1, ++number};
        item.account_ = "a" + std::to_string(turn % 200);
        item.prompt_tokens_ = 500;
        item.output_tokens_ = 200;
        item.arrived_ = now;
        item.first_token_deadline_ = now + core::duration{3'000};
        for (const policy::pool_action& action : owner.ask(item, now))
        {
            if (const auto* given = std::get_if<policy::grant>(&action))
            {
                running.push_back(given->attempt_);
            }
        }
        if (running.size() > static_cast<std::size_t>(engines) / 6)
        {
            policy::ending how;
            how.attempt_ = running.front();
            how.completed_ = true;
            owner.transferred(how.attempt_, now);
            owner.end(how, now);
            running.erase(running.begin());
        }
    }
    print(
        {{"what", "pool"},
         {"engines", engines},
         {"us_per_request", timer.us() / requests},
         {"granted", owner.counts().granted_},
         {"memory_bytes", heap_bytes() - before}});
}

} // namespace

} // namespace poplarroute::tests::load

int main()
{
    namespace load = poplarroute::tests::load;
    for (const int count : {10'000, 30'000, 100'000})
    {
        load::cost_of_claims(count);
    }
    load::cost_of_directory(8, 5, 13);
    load::cost_of_directory(100, 200, 300);
    load::cost_of_directory(370, 860, 1'000);
    for (const int engines : {5, 20, 50})
    {
        load::cost_of_pool(engines);
    }
    return 0;
}
