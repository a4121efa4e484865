#include "support/stand_in_platform.hpp"

#include <QCoreApplication>

#include <cstdlib>
#include <iostream>

/// Runs the stand-in platform on the port given as first argument until the process is terminated.
int main(int argc, char** argv)
{
    const QCoreApplication application(argc, argv);
    const int port = argc > 1 ? std::atoi(argv[1]) : 0; // NOLINT(cert-err34-c)
    const papayafall::stand_in_platform platform(static_cast<std::uint16_t>(port));
    std::cout << platform.address().port << std::endl;
    return QCoreApplication::exec();
}
