// Measures the time and memory that the state of each role takes at several
// sizes, and prints one JSON line per size. It checks nothing; docs/CAPACITY.md
// quotes its figures.

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
    double elapsed_us() const
    {
        const std::chrono::duration<double, std::micro> elapsed =
            std::chrono::steady_clock::now() - started_at_;
        return elapsed.count();
    }

private:
    std::chrono::steady_clock::time_point started_at_ =
        std::chrono::steady_clock::now();
};

void print_row(const json& row)
{
    std::cout << row.dump() << std::endl;
}

/// Returns a different address for each number, as in a real fleet.
std::string make_address(int number)
{
    return "10." + std::to_string(number * 7 % 200) + "." +
           std::to_string(number * 131 % 250) + "." +
           std::to_string(number % 250) + ":" +
           std::to_string(7'000 + number * 17 % 1'000);
}

std::string make_configuration(int hosts, int accounts, int endpoints)
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
               std::to_string(host % 5) + "\npeer = " + make_address(host) +
               "\n";
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
               "\naddress = " + make_address(endpoint) +
               "\ncapacity = 40\nrole = decode\n";
    }
    return out;
}

void measure_claims(int count)
{
    control::state_machine machine;
    const std::size_t heap_bytes_before = heap_bytes();
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
    const double total_us = timer.elapsed_us();
    const std::size_t held_bytes = heap_bytes() - heap_bytes_before;
    const stopwatch encode_timer;
    const std::size_t size = machine.encode().size();
    print_row(
        {{"what", "claims"},
         {"claims", count},
         {"bytes_each", held_bytes / static_cast<std::size_t>(count)},
         {"us_each", total_us / count},
         {"snapshot_bytes_each", size / static_cast<std::size_t>(count)},
         {"snapshot_ms", encode_timer.elapsed_us() / 1'000}});
}

void measure_directory(int hosts, int accounts, int endpoints)
{
    control::directory fleet;
    const std::size_t heap_bytes_before = heap_bytes();
    control::submit_configuration command;
    command.text_ = make_configuration(hosts, accounts, endpoints);
    const stopwatch timer;
    const auto reply = fleet.apply(command);
    const double total_us = timer.elapsed_us();
    const std::size_t held_bytes = heap_bytes() - heap_bytes_before;
    const stopwatch share_timer;
    std::int64_t rate_sum = 0;
    for (int account = 0; account < accounts; ++account)
    {
        rate_sum += fleet.share_of("h1", "a" + std::to_string(account)).rate_;
    }
    print_row(
        {{"what", "directory"},
         {"hosts", hosts},
         {"accounts", accounts},
         {"endpoints", endpoints},
         {"accepted", reply.verdict_ == control::verdict::accepted},
         {"memory_bytes", held_bytes},
         {"apply_ms", total_us / 1'000},
         {"shares_ms", share_timer.elapsed_us() / 1'000},
         {"share_sum", rate_sum},
         {"change_bytes", control::encode(command).size()},
         {"whole_bytes", fleet.encode().size()}});
}

void measure_pool(int engines)
{
    core::time_point now{1'000'000};
    policy::pool_scheduler owner(policy::reserve_first(), now);
    std::vector<policy::endpoint_config> configs;
    for (int index = 0; index < engines; ++index)
    {
        const auto kind = index % 3 == 0 ? policy::work_kind::prefill_only
                                         : policy::work_kind::decode_only;
        configs.push_back(
            {"e" + std::to_string(index), "", kind, 40, 20, false});
    }
    const std::size_t heap_bytes_before = heap_bytes();
    owner.set_endpoints(configs, now);
    std::uint64_t attempt_number = 0;
    constexpr int requests = 20'000;
    std::vector<core::attempt_id> running;
    const stopwatch timer;
    for (int request_index = 0; request_index < requests; ++request_index)
    {
        now = now + core::duration{5};
        if (request_index % 40 == 0)
        {
            for (const policy::endpoint_config& item : configs)
            {
                owner.report({item.name_, "b", {}, 0}, now);
            }
        }
        policy::pool_request item;
        item.attempt_ = {"h", 1, ++attempt_number};
        item.account_ = "a" + std::to_string(request_index % 200);
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
            policy::ending outcome;
            outcome.attempt_ = running.front();
            outcome.completed_ = true;
            owner.transferred(outcome.attempt_, now);
            owner.end(outcome, now);
            running.erase(running.begin());
        }
    }
    print_row(
        {{"what", "pool"},
         {"engines", engines},
         {"us_per_request", timer.elapsed_us() / requests},
         {"granted", owner.counts().granted_},
         {"memory_bytes", heap_bytes() - heap_bytes_before}});
}

} // namespace

} // namespace poplarroute::tests::load

int main()
{
    namespace load = poplarroute::tests::load;
    for (const int count : {10'000, 30'000, 100'000})
    {
        load::measure_claims(count);
    }
    load::measure_directory(8, 5, 13);
    load::measure_directory(100, 200, 300);
    load::measure_directory(370, 860, 1'000);
    for (const int engines : {5, 20, 50})
    {
        load::measure_pool(engines);
    }
    return 0;
}
