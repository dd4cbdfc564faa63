#include "base/log_writer.h"

#include <catch2/catch.hpp>

#include <array>
#include <fcntl.h>
#include <unistd.h>

using namespace ivypier;
using namespace std::chrono_literals;

TEST_CASE("a full pipe doesn't block the writer, and dropped lines are counted")
{
    std::array<int, 2> pipeEnds{};
    REQUIRE(pipe(pipeEnds.data()) == 0);
    log_writer writer(pipeEnds[1]);
    const std::string line(1000, 'x');
    for (int count = 0; count < 1000; ++count)
        writer.write(line);
    const std::uint64_t dropped = writer.takeDropped();
    CHECK(dropped > 0);
    CHECK(dropped < 1000);
    CHECK(writer.takeDropped() == 0);
    std::string read;
    std::array<char, 65536> buffer{};
    fcntl(pipeEnds[0], F_SETFL, O_NONBLOCK);
    for (int round = 0; round < 100; ++round) {
        ssize_t size = 0;
        while ((size = ::read(pipeEnds[0], buffer.data(), buffer.size())) > 0)
            read.append(buffer.data(), static_cast<std::size_t>(size));
        writer.write("end");
    }
    CHECK(read.size() >= (1000 - dropped) * 1001);
    CHECK(read.starts_with(line + '\n' + line + '\n'));
    close(pipeEnds[0]);
    close(pipeEnds[1]);
}

TEST_CASE("lines of one event over the rate limit are suppressed and counted")
{
    log_writer writer(-1);
    const time_point start{10s};
    std::uint64_t admitted = 0;
    for (int count = 0; count < 100; ++count)
        admitted += writer.tryAdmit("call.ended", start) ? 1 : 0;
    CHECK(admitted == max_event_lines_per_second);
    CHECK(writer.tryAdmit("other", start));
    CHECK(writer.takeSuppressed(start).empty());
    CHECK(writer.takeSuppressed(start + 1s)
          == std::map<std::string, std::uint64_t>{{"call.ended", 100 - max_event_lines_per_second}});
    CHECK(writer.takeSuppressed(start + 1s).empty());
    CHECK(writer.tryAdmit("call.ended", start + 1s));
}
