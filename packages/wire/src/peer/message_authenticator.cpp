#include "papayafall/wire/peer/message_authenticator.hpp"

#include "papayafall/core/errors/exception.hpp"

namespace papayafall {

void message_authenticator::verify(std::string_view context, std::string_view message,
                                   std::string_view tag) const
{
    const authentication_tag expected = sign(context, message);
    unsigned difference = tag.size() == expected.size() ? 0 : 1;
    for (std::size_t n = 0; n < expected.size() && n < tag.size(); ++n) {
        difference |= static_cast<unsigned char>(expected[n] ^ tag[n]);
    }
    if (difference != 0) {
        throw message_error(error_id::message_not_authentic,
                            "message authentication tag does not match");
    }
}

} // namespace papayafall
