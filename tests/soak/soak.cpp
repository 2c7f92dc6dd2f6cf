// Runs long simulations with seeded random faults: soak --seed N --seeds K
// --steps M [--run NAME].

#include <iostream>

#include <cxxopts.hpp>

#include "tests/soak/group_run.hpp"
#include "tests/soak/pool_run.hpp"
#include "tests/soak/share_run.hpp"

namespace soak = poplarroute::tests::soak;

namespace
{

using run_function = void (*)(
    std::uint64_t seed, std::uint64_t steps, soak::event_counts& counts);

const std::map<std::string, run_function>& all_runs()
{
    static const std::map<std::string, run_function> all{
        {"group", soak::run_group},
        {"pool", soak::run_pool},
        {"share", soak::run_share},
    };
    return all;
}

bool run_seed(
    const std::string& only_run,
    std::uint64_t seed,
    std::uint64_t steps,
    soak::event_counts& counts)
{
    bool passed = true;
    for (const auto& [name, run] : all_runs())
    {
        if (!only_run.empty() && only_run != name)
        {
            continue;
        }
        try
        {
            run(seed, steps, counts);
        }
        catch (const soak::check_failure& failure)
        {
            std::cout << "BROKEN run=" << name << " seed=" << seed
                      << " steps=" << steps << ": " << failure.what() << '\n';
            passed = false;
        }
    }
    return passed;
}

} // namespace

int main(int argc, char** argv)
{
    using cxxopts::value;
    cxxopts::Options options(
        "soak", "Runs long simulations with seeded random faults.");
    options.add_options()(
        "seed", "first seed", value<std::uint64_t>()->default_value("1"))(
        "seeds", "number of seeds", value<std::uint64_t>()->default_value("1"))(
        "steps",
        "steps per run",
        value<std::uint64_t>()->default_value("5000"))(
        "run",
        "run to execute: group, pool or share; all if empty",
        value<std::string>()->default_value(""));
    const auto given = options.parse(argc, argv);
    soak::throw_on_violated_invariants();
    const auto first = given["seed"].as<std::uint64_t>();
    const auto seeds = given["seeds"].as<std::uint64_t>();
    soak::event_counts counts;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        const bool passed = run_seed(
            given["run"].as<std::string>(),
            seed,
            given["steps"].as<std::uint64_t>(),
            counts);
        failed += passed ? 0 : 1;
    }
    for (const auto& [name, count] : counts)
    {
        std::cout << name << ": " << count << '\n';
    }
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
