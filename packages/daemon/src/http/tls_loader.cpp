#include "papayafall/daemon/http/tls_loader.hpp"

#include "papayafall/core/errors/exception.hpp"

#include <QFile>
#include <QSslCertificate>
#include <QSslKey>

#include <array>
#include <string>

namespace papayafall {

namespace {

constexpr qsizetype public_key_suffix_size = 64; ///< bytes compared to identify a public key
constexpr std::array key_algorithms{QSsl::Rsa, QSsl::Ec};

[[noreturn]] void throw_settings_error(const char* path, const std::string& reason)
{
    throw configuration_error(error_id::invalid_settings, path, reason);
}

QByteArray read_file(const std::string& name, const char* path)
{
    QFile file(QString::fromStdString(name));
    if (!file.open(QIODevice::ReadOnly)) {
        throw_settings_error(path, name + ": " + file.errorString().toStdString());
    }
    return file.readAll();
}

QSslKey load_key(const std::string& name)
{
    const QByteArray pem = read_file(name, "/http/tls/private_key");
    for (const QSsl::KeyAlgorithm it : key_algorithms) {
        QSslKey key(pem, it, QSsl::Pem, QSsl::PrivateKey);
        if (!key.isNull()) {
            return key;
        }
    }
    throw_settings_error("/http/tls/private_key",
                         name + ": not a PEM-encoded RSA or EC private key");
}

/// Returns whether `key` is the private key of `certificate`. The DER encodings of RSA and EC
/// private keys contain the public values with which the DER encoding of the public key ends.
bool key_matches_certificate(const QSslKey& key, const QSslCertificate& certificate)
{
    const QByteArray public_key = certificate.publicKey().toDer();
    return public_key.size() >= public_key_suffix_size &&
           key.toDer().contains(public_key.last(public_key_suffix_size));
}

} // namespace

QSslConfiguration load_tls(const tls_files& files)
{
    const QByteArray pem = read_file(files.certificate_chain, "/http/tls/certificate_chain");
    const QList<QSslCertificate> chain = QSslCertificate::fromData(pem, QSsl::Pem);
    if (chain.isEmpty()) {
        throw_settings_error("/http/tls/certificate_chain",
                             files.certificate_chain + ": contains no PEM-encoded certificate");
    }
    const QSslKey key = load_key(files.private_key);
    if (!key_matches_certificate(key, chain.front())) {
        throw_settings_error("/http/tls/private_key",
                             files.private_key + ": private key does not match the certificate");
    }
    QSslConfiguration tls = QSslConfiguration::defaultConfiguration();
    tls.setLocalCertificateChain(chain);
    tls.setPrivateKey(key);
    tls.setProtocol(QSsl::TlsV1_2OrLater);
    tls.setPeerVerifyMode(QSslSocket::VerifyNone);
    return tls;
}

} // namespace papayafall
