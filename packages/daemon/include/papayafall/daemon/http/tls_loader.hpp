#pragma once

#include "papayafall/daemon/http/front_end_options.hpp"

#include <QSslConfiguration>

namespace papayafall {

/// Loads a certificate chain and its private key into a TLS server configuration.
/// @throws configuration_error (`invalid_settings`) if a file cannot be read or is not PEM, or if
///         the key does not match the certificate
QSslConfiguration load_tls(const tls_files& files);

} // namespace papayafall
