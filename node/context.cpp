#include "node/context.hpp"

#include "core/ini.hpp"

namespace poplarroute::node
{

std::optional<std::string> context::address_of(const core::host_id& host) const
{
    const auto& hosts = directory().fleet_.settings().hosts_;
    const auto found = hosts.find(host);
    if (found != hosts.end())
    {
        return found->second.peer_;
    }
    for (const drivers::seed_settings& seed : identity().settings_.seeds_)
    {
        if (seed.host_ == host)
        {
            return seed.peer_;
        }
    }
    // Hosts of a group that the platform places are named by their address.
    if (core::is_address(host))
    {
        return host;
    }
    return std::nullopt;
}

std::vector<core::host_id> context::control_hosts() const
{
    std::vector<core::host_id> out;
    for (const drivers::seed_settings& seed : identity().settings_.seeds_)
    {
        if (seed.control_)
        {
            out.push_back(seed.host_);
        }
    }
    return out;
}

} // namespace poplarroute::node
