// Long seeded runs: soak --seed N --seeds K --steps M [--run NAME].

#include <iostream>

#include <cxxopts.hpp>

#include "tests/soak/group_run.hpp"
#include "tests/soak/pool_run.hpp"
#include "tests/soak/share_run.hpp"

namespace soak = poplarroute::tests::soak;

namespace
{

using run_function =
    void (*)(std::uint64_t seed, std::uint64_t steps, soak::counts& into);

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
    const std::string& only,
    std::uint64_t seed,
    std::uint64_t steps,
    soak::counts& into)
{
    bool good = true;
    for (const auto& [name, run] : all_runs())
    {
        if (!only.empty() && only != name)
        {
            continue;
        }
        try
        {
            run(seed, steps, into);
        }
        catch (const soak::broken& found)
        {
            std::cout << "BROKEN run=" << name << " seed=" << seed
                      << " steps=" << steps << ": " << found.what() << '\n';
            good = false;
        }
    }
    return good;
}

} // namespace

int main(int argc, char** argv)
{
    using cxxopts::value;
    cxxopts::Options options("soak", "Long seeded runs.");
    options.add_options()(
        "seed", "first seed", value<std::uint64_t>()->default_value("1"))(
        "seeds", "how many", value<std::uint64_t>()->default_value("1"))(
        "steps", "of each", value<std::uint64_t>()->default_value("5000"))(
        "run", "only this one", value<std::string>()->default_value(""));
    const auto given = options.parse(argc, argv);
    soak::throw_on_broken_invariants();
    const auto first = given["seed"].as<std::uint64_t>();
    const auto seeds = given["seeds"].as<std::uint64_t>();
    soak::counts counts;
    std::uint64_t failed = 0;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed)
    {
        const bool good = run_seed(
            given["run"].as<std::string>(),
            seed,
            given["steps"].as<std::uint64_t>(),
            counts);
        failed += good ? 0 : 1;
    }
    for (const auto& [name, count] : counts)
    {
        std::cout << name << ": " << count << '\n';
    }
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
