#include "papayafall/platform/hosts/static_host_list.hpp"

#include <utility>

namespace papayafall {

static_host_list::static_host_list(host_list_snapshot hosts) : hosts_(std::move(hosts)) {}

void static_host_list::read(platform_reply<host_list_snapshot> reply)
{
    QMetaObject::invokeMethod(
        &context_, [this, reply = std::move(reply)] { reply(hosts_); }, Qt::QueuedConnection);
}

} // namespace papayafall
