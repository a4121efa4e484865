#include "http/raw_client.hpp"
#include "support/process_fleet.hpp"

#include <cppunit/extensions/HelperMacros.h>

#include <QUdpSocket>

#include <random>

using namespace papayafall;

namespace {

std::string random_bytes(std::mt19937& random, std::size_t size)
{
    std::string buf(size, '\0');
    for (char& it : buf) {
        it = static_cast<char>(random());
    }
    return buf;
}

/// Random input, connection resets and targets that stop answering.
class process_hostile_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(process_hostile_test);
    CPPUNIT_TEST(random_bytes_and_connection_resets_are_survived);
    CPPUNIT_TEST(unresponsive_target_connections_are_replaced);
    CPPUNIT_TEST_SUITE_END();

  public:
    void random_bytes_and_connection_resets_are_survived()
    {
        process_fleet fleet;
        const daemon_process& host = fleet.host("a1");
        const auto peer_port = host.status().at("self").at("link").at("port").get<std::uint16_t>();
        const qint64 incarnation = host.status().at("self").at("incarnation").get<qint64>();
        std::mt19937 random(7);
        QUdpSocket datagrams;
        for (int n = 0; n < 100; ++n) {
            const std::string noise = random_bytes(random, 1 + random() % 1400);
            datagrams.writeDatagram(QByteArray::fromStdString(noise), QHostAddress::LocalHost,
                                    peer_port);
            for (const std::uint16_t port : {peer_port, host.port()}) {
                test::raw_client client(port);
                client.send(noise);
                client.reset();
            }
            send_request_and_reset(host.port());
        }
        const caller_answer got = host.call(make_task("check", "after", 5));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(got.body, 200, got.status);
        CPPUNIT_ASSERT_EQUAL(incarnation, host.status().at("self").at("incarnation").get<qint64>());
    }

    void unresponsive_target_connections_are_replaced()
    {
        process_fleet fleet;
        count_complete(fleet, 10);
        for (std::size_t n = 0; n < fleet.targets().size(); ++n) {
            fleet.targets().set_mode(stand_in_mode::silent, n); // affects existing connections only
        }
        CPPUNIT_ASSERT(
            wait_until([&] { return count_complete(fleet, 5) == 5; }, std::chrono::seconds(40)));
    }

  private:
    static void send_request_and_reset(std::uint16_t port)
    {
        const caller_request_text task = make_task("check", "hang-up", 50);
        test::raw_client client(port);
        client.send("POST " + task.path + " HTTP/1.1\r\nPapayafall-Team: desk\r\nContent-Length: " +
                    std::to_string(task.body.size()) + "\r\n\r\n" + task.body);
        client.reset();
    }

    static int count_complete(process_fleet& fleet, int count)
    {
        int complete = 0;
        for (int n = 0; n < count; ++n) {
            complete += fleet.host("a1").call(make_task("check", "x", 5)).status == 200 ? 1 : 0;
        }
        return complete;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(process_hostile_test);

} // namespace
