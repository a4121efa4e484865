#include "papayafall/core/errors/exception.hpp"
#include "papayafall/daemon/http/front_end.hpp"

#include "http/raw_client.hpp"
#include "http/scripted_core.hpp"
#include "http/test_certificates.hpp"
#include "support/test_application.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QFile>
#include <QSslCertificate>
#include <QSslSocket>
#include <QTemporaryDir>

#include <chrono>
#include <string>

using namespace papayafall;
using papayafall::test::raw_client;
using papayafall::test::scripted_core;

namespace {

constexpr int timeout_ms = 20'000;

/// Temporary files with a certificate chain and its private key, which a test can replace.
class tls_file_pair {
  public:
    tls_file_pair() { replace(test::first_certificate, test::first_key); }

    void replace(const char* certificate, const char* key) const
    {
        write("chain.pem", certificate);
        write("key.pem", key);
    }

    tls_files paths() const
    {
        return {.certificate_chain = directory_.filePath("chain.pem").toStdString(),
                .private_key = directory_.filePath("key.pem").toStdString()};
    }

  private:
    void write(const char* name, const char* content) const
    {
        QFile file(directory_.filePath(name));
        CPPUNIT_ASSERT(file.open(QIODevice::WriteOnly));
        file.write(content);
    }

    QTemporaryDir directory_;
};

/// Sends one request over a new TLS connection.
/// @param response receives the server's response
/// @return the certificate that the server presented
QSslCertificate send_over_tls(std::uint16_t port, const QByteArray& request, QByteArray& response)
{
    QSslSocket client;
    client.setPeerVerifyMode(QSslSocket::VerifyNone);
    client.connectToHostEncrypted("127.0.0.1", port);
    CPPUNIT_ASSERT(client.waitForEncrypted(timeout_ms));
    client.write(request);
    while (!response.contains("\r\n\r\n") && client.waitForReadyRead(timeout_ms)) {
        response += client.readAll();
    }
    return client.peerCertificate();
}

class front_end_tls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(front_end_tls_test);
    CPPUNIT_TEST(reloaded_certificate_is_shown_to_new_connections);
    CPPUNIT_TEST(large_responses_arrive_complete);
    CPPUNIT_TEST(plain_text_connection_is_closed);
    CPPUNIT_TEST(unusable_files_throw_configuration_error);
    CPPUNIT_TEST_SUITE_END();

  public:
    void setUp() override { ensure_application(); }

    void reloaded_certificate_is_shown_to_new_connections()
    {
        const tls_file_pair files;
        front_end front({.tls = files.paths()}, clock_, core_, registry_);
        front.start();
        const auto fetch_certificate = [&front] {
            QByteArray response;
            const QSslCertificate found =
                send_over_tls(front.port(), "GET /healthz HTTP/1.1\r\n\r\n", response);
            CPPUNIT_ASSERT(response.startsWith("HTTP/1.1 503 "));
            return found;
        };
        CPPUNIT_ASSERT(fetch_certificate() == QSslCertificate(test::first_certificate));

        files.replace(test::second_certificate, "no key");
        CPPUNIT_ASSERT_THROW(front.reload_tls(), configuration_error);
        CPPUNIT_ASSERT(fetch_certificate() == QSslCertificate(test::first_certificate));

        files.replace(test::second_certificate, test::second_key);
        front.reload_tls();
        CPPUNIT_ASSERT(fetch_certificate() == QSslCertificate(test::second_certificate));
        front.stop(std::chrono::seconds(20));
    }

    void large_responses_arrive_complete()
    {
        const tls_file_pair files;
        front_end front({.tls = files.paths()}, clock_, core_, registry_);
        core_.echo_to(front);
        front.start();
        QSslSocket client;
        client.setPeerVerifyMode(QSslSocket::VerifyNone);
        client.connectToHostEncrypted("127.0.0.1", front.port());
        CPPUNIT_ASSERT(client.waitForEncrypted(timeout_ms));
        const QByteArray body(1'000'000, 'b');
        for (int n = 0; n < 3; ++n) {
            client.write("POST /v1/services/quote/requests HTTP/1.1\r\nContent-Length: 1000000"
                         "\r\n\r\n" +
                         body);
            QByteArray response;
            while (!response.endsWith(body) && client.waitForReadyRead(timeout_ms)) {
                response += client.readAll();
            }
            CPPUNIT_ASSERT(response.startsWith("HTTP/1.1 200 ") && response.endsWith(body));
        }
    }

    void plain_text_connection_is_closed()
    {
        const tls_file_pair files;
        front_end front({.tls = files.paths()}, clock_, core_, registry_);
        front.start();
        raw_client client(front.port());
        CPPUNIT_ASSERT(client.send("GET /healthz HTTP/1.1\r\n\r\n"));
        CPPUNIT_ASSERT(client.wait_until_closed());
    }

    void unusable_files_throw_configuration_error()
    {
        const tls_file_pair files;
        files.replace("no certificate", test::first_key);
        CPPUNIT_ASSERT_THROW(front_end({.tls = files.paths()}, clock_, core_, registry_),
                             configuration_error);
        files.replace(test::first_certificate, test::second_key);
        CPPUNIT_ASSERT_THROW(front_end({.tls = files.paths()}, clock_, core_, registry_),
                             configuration_error);
        CPPUNIT_ASSERT_THROW(
            front_end({.tls = tls_files{"/nonexistent", "/nonexistent"}}, clock_, core_, registry_),
            configuration_error);
    }

  private:
    system_clock_source clock_;
    scripted_core core_;
    prometheus::Registry registry_;
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_end_tls_test);

} // namespace
