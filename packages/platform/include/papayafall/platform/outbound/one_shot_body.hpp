#pragma once

#include "papayafall/core/values/bytes.hpp"

#include <QIODevice>

namespace papayafall {

/// Body of a POST that the HTTP library can send once only.
///
/// The library sends a request again by itself when the server closes the connection before it
/// answers. It has to rewind the body for that, which this device refuses as soon as a byte of it
/// was read; an empty body refuses always.
class one_shot_body : public QIODevice {
  public:
    explicit one_shot_body(bytes content);

    /// Whether a byte of the body may have been written to a connection.
    bool was_read() const noexcept { return position_ > 0; }

    bool isSequential() const override { return true; }

    qint64 bytesAvailable() const override;
    bool reset() override;

  protected:
    qint64 readData(char* buf, qint64 size) override;
    qint64 writeData(const char* buf, qint64 size) override;

  private:
    bytes content_;
    std::size_t position_ = 0;
};

} // namespace papayafall
