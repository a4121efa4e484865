#include "papayafall/platform/outbound/one_shot_body.hpp"

#include <algorithm>
#include <utility>

namespace papayafall {

one_shot_body::one_shot_body(bytes content) : content_(std::move(content))
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 one_shot_body::bytesAvailable() const
{
    return static_cast<qint64>(content_.size() - position_);
}

bool one_shot_body::reset()
{
    return content_.size() > 0 && !was_read();
}

qint64 one_shot_body::readData(char* buf, qint64 size)
{
    const std::string_view rest = content_.view().substr(position_);
    if (rest.empty()) {
        return -1;
    }
    const std::size_t n = std::min(rest.size(), static_cast<std::size_t>(size));
    std::copy_n(rest.begin(), n, buf);
    position_ += n;
    return static_cast<qint64>(n);
}

qint64 one_shot_body::writeData(const char* /*buf*/, qint64 /*size*/)
{
    return -1;
}

} // namespace papayafall
