#pragma once

#include "papayafall/core/values/bytes.hpp"

#include <QIODevice>

namespace papayafall {

/// Request body that the HTTP library can send only once.
///
/// The library resends a request by itself if the server closes the connection before it responds.
/// To do so it has to rewind the body, which this device refuses once any byte has been read; an
/// empty body always refuses.
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
