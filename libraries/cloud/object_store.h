#pragma once

#include "base/outcome.h"

#include <functional>
#include <string>

namespace ivypier::cloud {

/// The platform's object store. Objects are immutable and named by their digest, so that put() is idempotent.
/// Completions run as tasks of the caller's scheduler.
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
