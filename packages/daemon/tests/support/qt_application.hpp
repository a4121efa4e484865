#pragma once

#include <QCoreApplication>

#include <array>

namespace papayafall {

/// The application object that Qt's event loops need; one a test program.
inline QCoreApplication& qt_application()
{
    static std::array<char, 5> name = {'t', 'e', 's', 't', '\0'};
    static std::array<char*, 2> arguments = {name.data(), nullptr};
    static int count = 1;
    static QCoreApplication application(count, arguments.data());
    return application;
}

} // namespace papayafall
