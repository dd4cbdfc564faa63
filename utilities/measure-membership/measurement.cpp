#include "measurement.h"

#include <malloc.h>

#include <cstdio>
#include <ctime>

namespace ivypier::measurement {

result_line::result_line(const std::string &what)
    : m_text("what=" + what)
{
}

result_line::~result_line()
{
    std::puts(m_text.c_str());
    std::fflush(stdout);
}

result_line &result_line::with(const std::string &key, double value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.6g", value);
    m_text += ' ' + key + '=' + text;
    return *this;
}

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

std::size_t heapBytes()
{
    const auto use = mallinfo2();
    return use.uordblks + use.hblkhd;
}

} // namespace ivypier::measurement
