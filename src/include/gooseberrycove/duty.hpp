#ifndef GOOSEBERRYCOVE_DUTY_HPP
#define GOOSEBERRYCOVE_DUTY_HPP

#include <gooseberrycove/ring.hpp>

#include <deque>
#include <utility>
#include <vector>

namespace gooseberrycove
{

/// Pushes pending messages in order until the ring is full. For messages that
/// must not be dropped; their number is bounded by the requests in flight.
template <class Message>
void push_pending(std::deque<Message>& pending, ring<Message>& target)
{
    while (!pending.empty() && target.try_push(std::move(pending.front())))
        pending.pop_front();
}

/// Message loop of a duty that waits only for its ring. Returns when the ring
/// is closed and empty.
///
/// \param handle  called as handle(message, now) for each message
/// \param tick    called as tick(now) after each batch and at the time that its
///                previous call returned; returns the time of the next call
template <class Message, class Handle, class Tick>
void run_duty(ring<Message>& inbox, Handle handle, Tick tick)
{
    std::vector<Message> batch;
    time_point next = clock_now();
    while (inbox.pop_until(batch, next))
    {
        time_point const now = clock_now();
        for (Message& message : batch)
            handle(message, now);
        batch.clear();
        next = tick(now);
    }
}

} // namespace gooseberrycove

#endif
