#pragma once

#include "papayafall/platform/hosts/host_list.hpp"

#include <QObject>

namespace papayafall {

/// Fixed host list from the settings, for a process that runs without a platform.
class static_host_list : public host_list {
  public:
    explicit static_host_list(host_list_snapshot hosts);

    void read(platform_reply<host_list_snapshot> reply) override;

  private:
    QObject context_;
    host_list_snapshot hosts_;
};

} // namespace papayafall
