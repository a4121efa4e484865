#pragma once

#include "papayafall/daemon/http/front_end_options.hpp"

#include <QSslConfiguration>

namespace papayafall {

/// Reads key and certificate chain for the servers of this process.
/// @throws configuration_error (`invalid_settings`) when a file cannot be read, is not PEM, or
///         the key does not belong to the certificate
QSslConfiguration load_tls(const tls_files& files);

} // namespace papayafall
