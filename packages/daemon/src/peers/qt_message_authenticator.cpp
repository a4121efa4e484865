#include "papayafall/daemon/peers/qt_message_authenticator.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <QByteArrayView>
#include <QCryptographicHash>
#include <QMessageAuthenticationCode>

#include <algorithm>

namespace papayafall {

namespace {

QByteArrayView view(std::string_view data)
{
    return {data.data(), static_cast<qsizetype>(data.size())};
}

} // namespace

qt_message_authenticator::qt_message_authenticator(const bytes& shared_key)
    : key_(view(shared_key.view()).toByteArray())
{
    if (shared_key.size() < min_shared_key_size) {
        throw configuration_error(error_id::invalid_settings, "/peers/shared_key",
                                  "the shared key is too short");
    }
}

authentication_tag qt_message_authenticator::sign(std::string_view context,
                                                  std::string_view message) const
{
    QMessageAuthenticationCode code(QCryptographicHash::Blake2b_256, key_);
    code.addData(context.data(), static_cast<qsizetype>(context.size()));
    code.addData(message.data(), static_cast<qsizetype>(message.size()));
    const QByteArray hash = code.result();

    authentication_tag tag{};
    std::copy_n(hash.begin(), tag.size(), tag.begin());
    return tag;
}

} // namespace papayafall
