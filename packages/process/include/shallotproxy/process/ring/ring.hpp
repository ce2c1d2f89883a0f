#pragma once

#include <atomic>
#include <functional>
#include <utility>

#include <boost/lockfree/spsc_queue.hpp>

namespace shallotproxy {

/// Bounded queue from one producer thread to one consumer thread. The wake-up function runs on the
/// producer's thread and is called once per drain, not once per element.
template <typename T>
class Ring
{
public:
    explicit Ring(std::size_t capacity)
        : m_queue(capacity)
    { }

    /// Sets the wake-up function. Must be called before the producer starts.
    auto setWakeup(std::function<void()> wakeup) -> void { m_wakeup = std::move(wakeup); }

    /// Adds an element. Returns false if the queue is full; the element is then left unchanged.
    [[nodiscard]] auto push(T &&value) -> bool
    {
        if (m_queue.write_available() == 0)
            return false;
        m_queue.push(std::move(value));
        if (!m_isSignalled.exchange(true) && m_wakeup)
            m_wakeup();
        return true;
    }

    /// Passes every queued element to `consume`. Must be called on the consumer's thread.
    template <typename Consumer>
    auto drain(Consumer &&consume) -> void
    {
        m_isSignalled.store(false);
        auto value = T();
        while (m_queue.pop(value)) {
            consume(std::move(value));
            value = T();
        }
    }

private:
    boost::lockfree::spsc_queue<T> m_queue;
    std::atomic<bool> m_isSignalled = false;
    std::function<void()> m_wakeup;
};

} // namespace shallotproxy
