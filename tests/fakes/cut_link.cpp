// Tells a host that runs with torture = yes to cut or heal its links to
// other hosts: cut_link HOST cut|heal ADDRESS ...

#include <iostream>

#include "core/codec.hpp"
#include "main/ctl/link.hpp"
#include "node/messages.hpp"

int main(int argc, char** argv)
{
    constexpr int first_address = 3;
    if (argc <= first_address)
    {
        std::cerr << "cut_link HOST cut|heal ADDRESS ...\n";
        return 2;
    }
    nlohmann::json request{{"cut_", std::string(argv[2]) == "cut"}};
    request["addresses_"] = nlohmann::json::array();
    for (int at = first_address; at < argc; ++at)
    {
        request["addresses_"].push_back(argv[at]);
    }
    poplarroute::main::ctl::link link({argv[1]}, nullptr);
    const auto done = link.call(
        argv[1],
        poplarroute::node::method::cut,
        poplarroute::core::encode_cbor(request));
    return poplarroute::core::is_ok(done) ? 0 : 1;
}
