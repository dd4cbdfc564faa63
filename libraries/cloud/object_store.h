#pragma once

#include "base/outcome.h"

#include <functional>
#include <string>

namespace ivypier::cloud {

/// The platform's object store. Objects here are named by their digest and never change, so that putting one
/// again is harmless. Answers come as tasks of the caller's scheduler.
class object_store
{
public:
    using get_completion = std::function<void(outcome<std::string>)>;
    using put_completion = std::function<void(outcome<void>)>;

    virtual ~object_store() = default;

    virtual void get(const std::string &name, get_completion done) = 0;
    virtual void put(const std::string &name, std::string content, put_completion done) = 0;
};

} // namespace ivypier::cloud
