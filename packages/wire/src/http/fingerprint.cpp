#include "papayafall/wire/http/fingerprint.hpp"

#include <xxhash.h>

#include <array>
#include <memory>
#include <new>
#include <string_view>

namespace papayafall {

namespace {

struct xxh3_state_deleter {
    void operator()(XXH3_state_t* state) const noexcept { XXH3_freeState(state); }
};

/// Incremental XXH3 hash of numbers and size-prefixed texts. Numbers are hashed in little-endian
/// order, so that the hash does not depend on the host.
class fingerprint_builder {
  public:
    fingerprint_builder() : state_(XXH3_createState())
    {
        if (!state_) {
            throw std::bad_alloc();
        }
        XXH3_64bits_reset(state_.get());
    }

    void add(std::uint64_t number)
    {
        std::array<unsigned char, sizeof(number)> buf{};
        for (unsigned char& it : buf) {
            it = static_cast<unsigned char>(number & 0xFFU);
            number >>= 8U;
        }
        XXH3_64bits_update(state_.get(), buf.data(), buf.size());
    }

    void add(std::string_view text)
    {
        add(std::uint64_t{text.size()});
        XXH3_64bits_update(state_.get(), text.data(), text.size());
    }

    std::uint64_t digest() const { return XXH3_64bits_digest(state_.get()); }

  private:
    std::unique_ptr<XXH3_state_t, xxh3_state_deleter> state_;
};

} // namespace

std::uint64_t request_fingerprint(const service_name& service, const team_name& team,
                                  request_kind kind, const std::vector<task>& tasks)
{
    fingerprint_builder builder;
    builder.add(service.text());
    builder.add(team.text());
    builder.add(static_cast<std::uint64_t>(kind));
    builder.add(std::uint64_t{tasks.size()});
    for (const task& it : tasks) {
        builder.add(it.body.view());
    }
    return builder.digest();
}

} // namespace papayafall
