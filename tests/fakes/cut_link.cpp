// Tells a host with the setting torture = yes to block or unblock its calls to
// other hosts: cut_link HOST cut|heal ADDRESS ...

#include <iostream>

#include "core/codec.hpp"
#include "main/ctl/fleet_client.hpp"
#include "node/messages.hpp"

int main(int argc, char** argv)
{
    constexpr int first_address_argument = 3;
    if (argc <= first_address_argument)
    {
        std::cerr << "usage: cut_link HOST cut|heal ADDRESS ...\n";
        return 2;
    }
    nlohmann::json request{{"cut_", std::string(argv[2]) == "cut"}};
    request["addresses_"] = nlohmann::json::array();
    for (int index = first_address_argument; index < argc; ++index)
    {
        request["addresses_"].push_back(argv[index]);
    }
    poplarroute::main::ctl::fleet_client client({argv[1]}, nullptr);
    const auto reply = client.call(
        argv[1],
        poplarroute::node::method::cut,
        poplarroute::core::encode_cbor(request));
    return poplarroute::core::is_ok(reply) ? 0 : 1;
}
