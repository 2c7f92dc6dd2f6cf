#pragma once

#include <any>
#include <typeindex>
#include <unordered_map>

namespace poplarroute::core
{

/// Shared state of a process's controllers (blackboard pattern), with one
/// section per type.
///
/// Controllers never call each other: each reads the sections it needs and
/// writes the ones it owns. All of them run on one thread.
class blackboard
{
public:
    /// \return the only section of this type, which the first use creates. The
    /// reference stays valid for the lifetime of the blackboard.
    template <class Section>
    Section& section()
    {
        const std::type_index type = typeid(Section);
        auto found = sections_.find(type);
        if (found == sections_.end())
        {
            found = sections_.emplace(type, std::any(Section{})).first;
        }
        return std::any_cast<Section&>(found->second);
    }

private:
    std::unordered_map<std::type_index, std::any> sections_;
};

} // namespace poplarroute::core
