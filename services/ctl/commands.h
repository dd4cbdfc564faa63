#pragma once

#include "command.h"

namespace ivypier::ctl {

/// Checks a document or the platform's configuration, and compares it with another one. Sends nothing.
class check_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Submits a document, which is accepted as a whole or refused, and prints the changes.
class submit_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the document in force.
class show_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the difference between the document in force and a document file.
class diff_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the entry addresses that a node returns to callers of a service.
class entries_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Requests a graceful stop of a node.
class drain_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints what an ivypier-edge node knows of its upstreams, by service and software version.
class upstreams_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the calls that an ivypier-edge node keeps away from upstreams, because they crash them.
class quarantine_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Lifts an entry of the quarantine on all nodes.
class lift_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Has all nodes refuse the calls to a service with a part of a prompt.
class convict_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the rollouts that an ivypier-edge node knows, or has the fleet roll one back.
class rollout_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

/// Prints the status of one node, or of every node that the platform lists.
class status_command final : public command
{
public:
    std::string_view name() const override;
    std::string_view argumentName() const override;
    int run(const command_options &options, const std::string &argument) const override;
};

} // namespace ivypier::ctl
