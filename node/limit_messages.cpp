#include "node/limit_messages.hpp"

#include <algorithm>

namespace poplarroute::node
{

namespace
{

constexpr double milli = 1'000;

} // namespace

std::int64_t milli_per_second_of(const policy::limit_statement& statement)
{
    return static_cast<std::int64_t>(statement.per_second_.value_or(0) * milli);
}

std::vector<endpoint_limit_message> to_limit_messages(
    const policy::limit_statements& statements, core::time_point now)
{
    std::vector<endpoint_limit_message> out;
    for (const auto& [name, item] : statements.all())
    {
        endpoint_limit_message message;
        message.endpoint_ = name;
        message.limited_ = item.per_second_.has_value();
        message.milli_per_second_ = milli_per_second_of(item);
        message.age_ms_ = (now - item.said_at_).ms_;
        out.push_back(std::move(message));
    }
    return out;
}

bool record_limits(
    policy::endpoint_allowance& limits,
    std::span<const endpoint_limit_message> told,
    core::time_point sent_at,
    core::time_point now)
{
    bool has_changed = false;
    for (const endpoint_limit_message& item : told)
    {
        const core::duration age{std::max<std::int64_t>(item.age_ms_, 0)};
        policy::limit_statement statement;
        // The age is exact only at its sender: a limit may be newer than that,
        // and the end of one older.
        statement.said_at_ = (item.limited_ ? now : sent_at) - age;
        if (item.limited_)
        {
            statement.per_second_ =
                static_cast<double>(item.milli_per_second_) / milli;
        }
        has_changed = limits.record(item.endpoint_, statement) || has_changed;
    }
    return has_changed;
}

} // namespace poplarroute::node
