#pragma once

#include <any>
#include <typeindex>
#include <unordered_map>

namespace poplarroute::core
{

/// The state that a process's controllers share, one section per type.
///
/// Controllers never call each other: each reads the sections it needs and
/// writes the ones it owns. All of them run on one thread.
class blackboard
{
public:
    /// \return the only section of this type, made at its first use. The
    /// reference stays valid for the blackboard's whole life.
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
