#include "control/catalog.hpp"

#include <set>
#include <utility>

namespace poplarroute::control
{

namespace
{

std::string route_key(std::string_view virtual_host, std::string_view prefix)
{
    std::string out(virtual_host);
    out += '\n';
    out += prefix;
    return out;
}

core::place place_of(std::string section, std::string key)
{
    return {"configuration", 0, std::move(section), std::move(key)};
}

void check_route(
    const catalog& candidate,
    const catalog_route& route,
    core::finding_list& findings)
{
    const std::string section = "route " + route.name_;
    std::int64_t weights = 0;
    for (const route_target& target : route.targets_)
    {
        weights += target.weight_;
        if (candidate.services_.count(target.service_) == 0)
        {
            findings.add(
                place_of(section, "service"),
                "there is no service " + target.service_,
                "name a service of this configuration");
        }
    }
    if (weights <= 0)
    {
        findings.add(
            place_of(section, "weights"),
            "the weights add up to " + std::to_string(weights),
            "give at least one target a weight above 0");
    }
    if (route.time_limit_.ms_ <= 0)
    {
        findings.add(
            place_of(section, "time limit"),
            "the time limit is " + std::to_string(route.time_limit_.ms_) +
                " ms",
            "give a time limit above 0");
    }
}

} // namespace

void check(const catalog& candidate, core::finding_list& findings)
{
    std::set<std::string> route_keys;
    for (const catalog_route& route : candidate.routes_)
    {
        check_route(candidate, route, findings);
        if (!route_keys.insert(route_key(route.virtual_host_, route.prefix_))
                 .second)
        {
            findings.add(
                place_of("route " + route.name_, "prefix"),
                "another route has the same host and prefix",
                "keep one of them");
        }
    }
    std::map<std::string, core::account_id> holders;
    for (const catalog_account& account : candidate.accounts_)
    {
        for (const std::string& key : account.keys_)
        {
            const auto [found, inserted] = holders.emplace(key, account.name_);
            if (!inserted && found->second != account.name_)
            {
                findings.add(
                    place_of("account " + account.name_, "keys"),
                    "a key is also held by " + found->second,
                    "give each account keys of its own");
            }
        }
    }
}

catalog_view::catalog_view(catalog source) : whole_(std::move(source))
{
    for (std::size_t index = 0; index < whole_.routes_.size(); ++index)
    {
        const catalog_route& route = whole_.routes_[index];
        routes_[route_key(route.virtual_host_, route.prefix_)] = index;
    }
    for (std::size_t index = 0; index < whole_.accounts_.size(); ++index)
    {
        accounts_[whole_.accounts_[index].name_] = index;
        for (const std::string& key : whole_.accounts_[index].keys_)
        {
            keys_[key] = index;
        }
    }
}

const catalog_route* catalog_view::find_route(
    std::string_view virtual_host, std::string_view path) const
{
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1))
    {
        const auto found =
            routes_.find(route_key(virtual_host, path.substr(0, end + 1)));
        if (found != routes_.end())
        {
            return &whole_.routes_[found->second];
        }
    }
    return nullptr;
}

const catalog_account* catalog_view::account_of(const std::string& key) const
{
    const auto found = keys_.find(key);
    return found == keys_.end() ? nullptr : &whole_.accounts_[found->second];
}

const catalog_account* catalog_view::find_account(
    const core::account_id& name) const
{
    const auto found = accounts_.find(name);
    return found == accounts_.end() ? nullptr
                                    : &whole_.accounts_[found->second];
}

const catalog_service* catalog_view::find_service(
    const core::service_id& name) const
{
    const auto found = whole_.services_.find(name);
    return found == whole_.services_.end() ? nullptr : &found->second;
}

} // namespace poplarroute::control
