#pragma once

#include <string>
#include <utility>
#include <variant>

namespace poplarroute::core
{

/// Kind of an error.
enum class errc
{
    invalid,     ///< The input is not well formed.
    unreachable, ///< No connection could be made, so nothing was sent.
    broken,      ///< A connection was lost after something was sent.
    timeout,     ///< The deadline passed.
    overloaded,  ///< A bounded queue is full.
    not_leader,  ///< The member that was asked is not the leader.
    not_ready,   ///< The host or group cannot reply yet.
    conflict,    ///< Another operator or request came first.
    denied,      ///< The credentials do not allow this.
    not_found,   ///< The named object does not exist.
    storage,     ///< The disk failed; the Raft member must stop.
    withheld,    ///< The endpoint wants no such call now; nothing was sent.
};

/// An error with its kind and a message that people can read.
struct error
{
    errc code_ = errc::invalid;
    std::string message_;
};

/// The value of an operation, or the error with which it failed.
template <class T>
using result = std::variant<T, error>;

/// Value type of an operation that returns no value.
using done = std::monostate;

template <class T>
bool is_ok(const result<T>& outcome)
{
    return outcome.index() == 0;
}

/// \pre is_ok(outcome).
template <class T>
T& value(result<T>& outcome)
{
    return std::get<0>(outcome);
}

template <class T>
const T& value(const result<T>& outcome)
{
    return std::get<0>(outcome);
}

/// \pre not is_ok(outcome).
template <class T>
const error& failure(const result<T>& outcome)
{
    return std::get<1>(outcome);
}

/// Combines lambdas into one visitor for std::visit.
template <class... Handlers>
struct overloaded : Handlers...
{
    using Handlers::operator()...;
};

template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

/// Returns the name of an error kind, which does not change, for logs and
/// JSON.
constexpr const char* name(errc code)
{
    switch (code)
    {
    case errc::invalid:
        return "invalid";
    case errc::unreachable:
        return "unreachable";
    case errc::broken:
        return "broken";
    case errc::timeout:
        return "timeout";
    case errc::overloaded:
        return "overloaded";
    case errc::not_leader:
        return "not_leader";
    case errc::not_ready:
        return "not_ready";
    case errc::conflict:
        return "conflict";
    case errc::denied:
        return "denied";
    case errc::not_found:
        return "not_found";
    case errc::storage:
        return "storage";
    case errc::withheld:
        return "withheld";
    }
    return "unknown";
}

} // namespace poplarroute::core
