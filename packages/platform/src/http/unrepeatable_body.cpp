#include "unrepeatable_body.hpp"

#include <algorithm>
#include <cstring>
#include <utility>

namespace papayafall::detail {

unrepeatable_body::unrepeatable_body(QByteArray data, QObject* parent)
    : QIODevice(parent), data_(std::move(data))
{
    open(QIODevice::ReadOnly | QIODevice::Unbuffered);
}

qint64 unrepeatable_body::bytesAvailable() const
{
    return data_.size() - position_ + QIODevice::bytesAvailable();
}

qint64 unrepeatable_body::readData(char* out, qint64 max)
{
    const qint64 n = std::min<qint64>(max, data_.size() - position_);
    if (n == 0) {
        return -1;
    }
    std::memcpy(out, data_.constData() + position_, static_cast<std::size_t>(n));
    position_ += n;
    return n;
}

qint64 unrepeatable_body::writeData(const char* /*data*/, qint64 /*size*/)
{
    return -1;
}

} // namespace papayafall::detail
