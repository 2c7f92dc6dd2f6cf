// Preloaded into the programs of a test, which run unchanged: connections from
// one host of the fleet to another start at the host's own loopback address and
// go to the proxy of tests/harness/links.py, which listens at the destination's
// address. A connection over a link that is cut hangs, as one without an answer
// to its first packet does.

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <string>

namespace
{

using connect_function = int (*)(int, const sockaddr*, socklen_t);

/// Distance from a port to the proxy's port for it.
constexpr int proxy_port_offset = 10'000;

std::string environment(const char* name)
{
    const char* text = std::getenv(name);
    return text == nullptr ? std::string() : std::string(text);
}

std::string text_of(const in_addr& address)
{
    std::array<char, INET_ADDRSTRLEN> out{};
    inet_ntop(AF_INET, &address, out.data(), out.size());
    return out.data();
}

bool is_cut(const std::string& from, const std::string& to)
{
    const std::string folder = environment("LINKS_FOLDER") + "/";
    return access((folder + to).c_str(), F_OK) == 0 ||
           access((folder + from + "-" + to).c_str(), F_OK) == 0;
}

/// Binds a socket to this host's address; the kernel chooses the port.
/// \return whether it is bound; errno says why it is not.
bool bind_to_host(int socket, const std::string& host)
{
    sockaddr_in own{};
    own.sin_family = AF_INET;
    inet_pton(AF_INET, host.c_str(), &own.sin_addr);
    const int on = 1;
    setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
    return bind(socket, reinterpret_cast<const sockaddr*>(&own), sizeof(own)) ==
           0;
}

} // namespace

extern "C" int connect(int socket, const sockaddr* address, socklen_t size)
{
    static const auto next =
        reinterpret_cast<connect_function>(dlsym(RTLD_NEXT, "connect"));
    sockaddr_in target{};
    if (address->sa_family != AF_INET || size < sizeof(target))
    {
        return next(socket, address, size);
    }
    std::memcpy(&target, address, sizeof(target));
    const std::string to = text_of(target.sin_addr);
    const std::string host = environment("LINKS_HOST");
    if (to == host || !to.starts_with(environment("LINKS_NETWORK") + "."))
    {
        return next(socket, address, size);
    }
    if (is_cut(host, to))
    {
        const std::string port = environment("LINKS_DARK_PORT");
        inet_pton(AF_INET, "127.0.0.1", &target.sin_addr);
        target.sin_port = htons(
            static_cast<std::uint16_t>(std::strtol(port.c_str(), nullptr, 10)));
    }
    else
    {
        if (!bind_to_host(socket, host))
        {
            return -1;
        }
        target.sin_port = htons(static_cast<std::uint16_t>(
            ntohs(target.sin_port) + proxy_port_offset));
    }
    return next(
        socket, reinterpret_cast<const sockaddr*>(&target), sizeof(target));
}
