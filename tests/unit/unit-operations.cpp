#include <fstream>
#include <regex>

#include <QDirIterator>

#include <gtest/gtest.h>

#include "shallotproxy/process/base/text.hpp"

namespace shallotproxy {

namespace {

auto readFile(const std::string &path) -> std::string
{
    auto file = std::ifstream(path);
    return {std::istreambuf_iterator<char>(file), {}};
}

/// Returns the sources that log, with string literals that are split over lines joined.
auto loggingSources() -> std::string
{
    const auto literalBreak = std::regex("\"\\s*\n\\s*\"");
    auto text = std::string();
    for (const auto *folder : {"/packages/member/src", "/platform/src"}) {
        auto files = QDirIterator(toQString(SHALLOTPROXY_SOURCE + std::string(folder)),
                                  {QStringLiteral("*.cpp")}, QDir::Files);
        while (files.hasNext())
            text += std::regex_replace(readFile(files.next().toStdString()), literalBreak, "");
    }
    return text;
}

/// Whether the format of the example's event has all keys of the example in the same order.
auto matchesFormat(const std::string &formats, const std::string &example) -> bool
{
    auto pattern = std::string();
    const auto field = std::regex("([a-z-]+)=([^ ]*)");
    for (auto it = std::sregex_iterator(example.begin(), example.end(), field);
         it != std::sregex_iterator(); ++it) {
        const auto isEvent = (*it)[1] == "event";
        pattern += isEvent ? "\"event=" + (*it)[2].str() + "\\b" : " " + (*it)[1].str() + "=[^\"]*";
        if (isEvent)
            pattern += "[^\"]*";
    }
    // Escaped quotes would end the pattern's [^"]* too early.
    auto plain = formats;
    for (auto at = plain.find("\\\""); at != std::string::npos; at = plain.find("\\\"", at))
        plain.replace(at, 2, "'");
    return std::regex_search(plain, std::regex(pattern));
}

// Engineers trace failed requests by the example lines of the page, so these must match the code.
TEST(Operations, ExampleLogLinesMatchTheirFormats)
{
    const auto page = readFile(SHALLOTPROXY_SOURCE "/docs/OPERATIONS.md");
    const auto formats = loggingSources();
    auto lines = std::istringstream(page);
    auto examples = 0;
    for (auto line = std::string(); std::getline(lines, line);) {
        if (!line.starts_with("    event="))
            continue;
        ++examples;
        EXPECT_TRUE(matchesFormat(formats, line)) << line;
    }
    EXPECT_GT(examples, 5);
}

TEST(Operations, ListsOnlyEventsThatAreLogged)
{
    const auto page = readFile(SHALLOTPROXY_SOURCE "/docs/OPERATIONS.md");
    const auto formats = loggingSources();
    const auto row = std::regex("\n\\| (`[a-z`, -]+) \\|");
    const auto name = std::regex("`([a-z-]+)`");
    auto events = 0;
    for (auto it = std::sregex_iterator(page.begin(), page.end(), row);
         it != std::sregex_iterator(); ++it) {
        const auto names = (*it)[1].str();
        for (auto n = std::sregex_iterator(names.begin(), names.end(), name);
             n != std::sregex_iterator(); ++n) {
            ++events;
            EXPECT_NE(formats.find("event=" + (*n)[1].str()), std::string::npos) << (*n)[1].str();
        }
    }
    EXPECT_GT(events, 20);
}

} // namespace

} // namespace shallotproxy
