#include <QCoreApplication>

#include <gtest/gtest.h>

auto main(int argc, char **argv) -> int
{
    const auto app = QCoreApplication(argc, argv);
    testing::InitGoogleTest(&argc, argv);
    return RUN_ALL_TESTS();
}
