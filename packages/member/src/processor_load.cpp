#include <utility>

#include <sys/resource.h>

#include "shallotproxy/member/processor_load.hpp"

namespace shallotproxy {

namespace {

auto usedProcessorTime() -> Duration
{
    auto usage = rusage();
    getrusage(RUSAGE_SELF, &usage);
    const auto sum = [](const timeval &it) {
        return std::chrono::seconds(it.tv_sec) + std::chrono::microseconds(it.tv_usec);
    };
    return sum(usage.ru_utime) + sum(usage.ru_stime);
}

} // namespace

ProcessorLoad::ProcessorLoad(double processorShare)
    : m_processorShare(processorShare)
    , m_measuredAt(BootClock::now())
    , m_used(usedProcessorTime())
{ }

auto ProcessorLoad::measure(BootTime now) -> double
{
    const auto before = std::exchange(m_measuredAt, now);
    const auto used = usedProcessorTime();
    const auto usedBefore = std::exchange(m_used, used);
    const auto available = std::chrono::duration<double>(now - before).count() * m_processorShare;
    if (available <= 0)
        return 0;
    return std::chrono::duration<double>(used - usedBefore).count() / available;
}

} // namespace shallotproxy
