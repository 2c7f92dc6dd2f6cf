#pragma once

#include <cstdint>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/buffer_traits.hpp>
#include <boost/beast/core/buffers_range.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>

namespace poplarroute::drivers
{

/// Body type for Beast's parsers that grows with the bytes that arrive. Beast's
/// own string_body reserves the whole announced length in advance, so that a
/// header alone can exhaust the memory.
struct appended_body
{
    using value_type = std::string;

    class reader
    {
    public:
        template <bool IsRequest, class Fields>
        reader(boost::beast::http::header<IsRequest, Fields>&, value_type& body)
            : body_(body)
        {
        }

        void init(
            const boost::optional<std::uint64_t>&,
            boost::beast::error_code& failed)
        {
            failed = {};
        }

        template <class Buffers>
        std::size_t put(
            const Buffers& buffers, boost::beast::error_code& failed)
        {
            failed = {};
            std::size_t size = 0;
            for (const boost::asio::const_buffer part :
                 boost::beast::buffers_range_ref(buffers))
            {
                body_.append(
                    static_cast<const char*>(part.data()), part.size());
                size += part.size();
            }
            return size;
        }

        void finish(boost::beast::error_code& failed)
        {
            failed = {};
        }

    private:
        value_type& body_;
    };
};

} // namespace poplarroute::drivers
