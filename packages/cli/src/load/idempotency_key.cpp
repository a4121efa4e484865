#include "idempotency_key.hpp"

#include <QUuid>

#include <functional>
#include <random>

namespace papayafall::detail {

namespace {

constexpr std::uint64_t version_7_bits = 0x7000;
constexpr std::uint64_t variant_bits = std::uint64_t{0b10} << 62U;
constexpr std::uint64_t variant_mask = std::uint64_t{0b11} << 62U;
constexpr std::uint64_t low_12_bits = 0xfff;

constexpr unsigned byte_at(std::uint64_t high, std::uint64_t low, unsigned n)
{
    const std::uint64_t half = n < 8 ? high : low;
    return static_cast<unsigned>(half >> (8 * (7 - n % 8))) & 0xffU;
}

} // namespace

std::string make_idempotency_key(const std::string& run_name, std::uint64_t number,
                                 wall_time created_at)
{
    std::mt19937_64 random(std::hash<std::string>{}(run_name) + number);
    const auto milliseconds = static_cast<std::uint64_t>(created_at.time_since_epoch().count());
    const std::uint64_t high = milliseconds << 16U | version_7_bits | (random() & low_12_bits);
    const std::uint64_t low = (random() & ~variant_mask) | variant_bits;
    QByteArray octets;
    for (unsigned n = 0; n < 16; ++n) {
        octets.append(static_cast<char>(byte_at(high, low, n)));
    }
    return QUuid::fromRfc4122(octets).toString(QUuid::WithoutBraces).toStdString();
}

} // namespace papayafall::detail
