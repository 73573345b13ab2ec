/// \file
/// A log sink for standard output that never blocks.

#include "Logs/NonBlockingStdoutSink.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace corianderdyke {

void NonBlockingStdoutSink::sink_it_(const spdlog::details::log_msg &Message) {
  spdlog::memory_buf_t Line;
  formatter_->format(Message, Line);
  // A pipe that is ready accepts up to PIPE_BUF bytes atomically, without
  // blocking.
  const bool Fits = Line.size() <= PIPE_BUF;
  pollfd Ready{Descriptor, POLLOUT, 0};
  if (!Fits || ::poll(&Ready, 1, 0) != 1 || (Ready.revents & POLLOUT) == 0 ||
      ::write(Descriptor, Line.data(), Line.size()) < 0)
    ++DroppedCount;
}

} // namespace corianderdyke
