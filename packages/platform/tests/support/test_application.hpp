#pragma once

#include <QCoreApplication>

#include <array>
#include <string>

namespace papayafall {

/// Creates the application object that Qt's event loops need; one for each test program.
inline QCoreApplication& ensure_application()
{
    static int argc = 1;
    static std::string name = "test";
    static std::array<char*, 2> argv{name.data(), nullptr};
    static QCoreApplication application(argc, argv.data());
    return application;
}

} // namespace papayafall
