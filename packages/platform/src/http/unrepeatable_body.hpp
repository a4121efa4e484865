#pragma once

#include <QByteArray>
#include <QIODevice>

namespace papayafall::detail {

/// Request body that cannot be rewound, so that QNetworkAccessManager cannot send it again.
class unrepeatable_body : public QIODevice {
  public:
    unrepeatable_body(QByteArray data, QObject* parent);

    bool isSequential() const override { return true; }

    bool reset() override { return false; }

    bool atEnd() const override { return position_ == data_.size(); }

    qint64 bytesAvailable() const override;

  protected:
    qint64 readData(char* out, qint64 max) override;
    qint64 writeData(const char* data, qint64 size) override;

  private:
    QByteArray data_;
    qint64 position_ = 0;
};

} // namespace papayafall::detail
