#pragma once

#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <array>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace papayafall::test {

/// A blocking TCP client over loopback that sends arbitrary bytes unchanged. Sending and receiving
/// time out after 20 seconds.
class raw_client {
  public:
    explicit raw_client(std::uint16_t port) : descriptor_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const timeval timeout{.tv_sec = 20, .tv_usec = 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(descriptor_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(descriptor_);
            throw std::runtime_error("cannot connect to the loopback port");
        }
    }

    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    ~raw_client() { ::close(descriptor_); }

    /// Sends all of `data`; returns false if the peer has closed or sending times out.
    bool send(std::string_view data)
    {
        while (!data.empty()) {
            const ssize_t n = ::send(descriptor_, data.data(), data.size(), MSG_NOSIGNAL);
            if (n <= 0) {
                return false;
            }
            data.remove_prefix(static_cast<std::size_t>(n));
        }
        return true;
    }

    /// Reads one response with its body; if the peer closes or reading times out, returns the data
    /// received so far.
    std::string read_response()
    {
        while (true) {
            const std::size_t header = buffer_.find("\r\n\r\n");
            if (header != std::string::npos) {
                const std::size_t size = header + 4 + body_size(header);
                if (buffer_.size() >= size) {
                    std::string response = buffer_.substr(0, size);
                    buffer_.erase(0, size);
                    return response;
                }
            }
            if (!receive()) {
                return buffer_;
            }
        }
    }

    /// Reads until the peer closes; returns false if reading times out first.
    bool wait_until_closed()
    {
        while (receive()) {
        }
        return closed_;
    }

    /// Closes with a TCP reset, so that the peer sees a broken connection.
    void reset()
    {
        const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
        ::close(descriptor_);
        descriptor_ = -1;
    }

  private:
    /// @param header offset of the empty line that ends the header
    std::size_t body_size(std::size_t header) const
    {
        const std::string_view name = "\r\nContent-Length: ";
        const std::size_t at = buffer_.find(name);
        return at < header ? std::stoul(buffer_.substr(at + name.size())) : 0;
    }

    bool receive()
    {
        std::array<char, 65536> buf{};
        const ssize_t n = ::recv(descriptor_, buf.data(), buf.size(), 0);
        closed_ = n == 0 || (n < 0 && errno == ECONNRESET);
        if (n <= 0) {
            return false;
        }
        buffer_.append(buf.data(), static_cast<std::size_t>(n));
        return true;
    }

    int descriptor_;
    std::string buffer_;
    bool closed_ = false;
};

} // namespace papayafall::test
