#ifndef GOOSEBERRYCOVE_RING_HPP
#define GOOSEBERRYCOVE_RING_HPP

#include <gooseberrycove/types.hpp>

#include <algorithm>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <iterator>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace gooseberrycove
{

/// Function that wakes a loop which waits for sockets. Called from any thread.
class waker_slot
{
public:
    void set(std::function<void()> waker)
    {
        std::lock_guard lock(m_mutex);
        m_waker = std::move(waker);
    }

    /// Waits for a call that runs on another thread.
    void clear() { set({}); }

    void call()
    {
        std::lock_guard lock(m_mutex);
        if (m_waker)
            m_waker();
    }

private:
    std::mutex m_mutex;
    std::function<void()> m_waker;
};

struct waker_remover
{
    void operator()(waker_slot* slot) const { slot->clear(); }
};

/// Removes a waker at the end of its scope. Afterwards no thread calls it, so
/// what it refers to may be destroyed. The ring must outlive the scope.
using waker_scope = std::unique_ptr<waker_slot, waker_remover>;

/// Bounded queue of messages from many threads to the thread of one duty.
///
/// Uses a mutex and a condition variable, so that a waiting thread sleeps in
/// the kernel and never spins. A loop that waits for sockets installs a waker
/// instead of calling pop_until(). Memory grows with the queued messages, not
/// with the capacity.
template <class Message>
class ring
{
public:
    using message_type = Message;

    explicit ring(std::size_t capacity) : m_capacity(capacity) {}

    ring(ring const&) = delete;
    ring& operator=(ring const&) = delete;

    /// Sets the function that is called, outside the lock, after a push into
    /// an empty ring and after close(). May be called once, also after other
    /// threads have pushed: \p waker is then called at once. It must not use
    /// the ring.
    [[nodiscard]] waker_scope set_waker(std::function<void()> waker)
    {
        m_waker.set(std::move(waker));
        waker_scope scope(&m_waker);
        bool is_due = false;
        {
            std::lock_guard lock(m_mutex);
            m_has_waker = true;
            is_due = !m_queue.empty() || m_closed;
        }
        if (is_due)
            m_waker.call();
        return scope;
    }

    /// Returns false, and leaves \p message unchanged, when fewer than
    /// \p reserve + 1 slots are free or the ring is closed. New requests use a
    /// reserve, so that there is always room for responses.
    bool try_push(Message&& message, std::size_t reserve = 0)
    {
        bool has_waker = false;
        {
            std::lock_guard lock(m_mutex);
            if (m_closed || m_queue.size() + reserve >= m_capacity)
                return false;
            m_queue.push_back(std::move(message));
            if (m_queue.size() > 1)
                return true;
            has_waker = m_has_waker;
        }
        m_ready.notify_one();
        if (has_waker)
            m_waker.call();
        return true;
    }

    /// Moves all queued messages to the end of \p out without waiting.
    /// Returns false when the ring is closed and no more messages will follow.
    bool pop_all(std::vector<Message>& out)
    {
        std::lock_guard lock(m_mutex);
        move_queued(out);
        return !m_closed;
    }

    /// Waits until a message is queued, the ring is closed or \p until has
    /// passed, then moves all queued messages to the end of \p out. Returns
    /// false when the ring is closed and empty.
    bool pop_until(std::vector<Message>& out, time_point until)
    {
        std::unique_lock lock(m_mutex);
        m_ready.wait_until(lock, until,
                           [this] { return !m_queue.empty() || m_closed; });
        bool const open = !m_queue.empty() || !m_closed;
        move_queued(out);
        return open;
    }

    /// Refuses further pushes and wakes the reader.
    void close()
    {
        bool has_waker = false;
        {
            std::lock_guard lock(m_mutex);
            m_closed = true;
            has_waker = m_has_waker;
        }
        m_ready.notify_all();
        if (has_waker)
            m_waker.call();
    }

    bool is_closed() const
    {
        std::lock_guard lock(m_mutex);
        return m_closed;
    }

    std::size_t capacity() const { return m_capacity; }

private:
    void move_queued(std::vector<Message>& out)
    {
        std::move(m_queue.begin(), m_queue.end(), std::back_inserter(out));
        m_queue.clear();
    }

    std::mutex mutable m_mutex;
    std::condition_variable m_ready;
    std::size_t m_capacity;
    std::deque<Message> m_queue;
    bool m_closed = false;
    bool m_has_waker = false;
    waker_slot m_waker;
};

/// Limit of requests in flight at one daemon, from callers and from peers.
inline constexpr std::size_t max_in_flight = 4096;

/// Capacity of a ring that carries requests and their responses. The half above
/// max_in_flight is for responses and control messages.
inline constexpr std::size_t request_ring_capacity = 2 * max_in_flight;

/// Slots of such a ring that new requests leave free for responses.
inline constexpr std::size_t response_reserve = max_in_flight;

} // namespace gooseberrycove

#endif
