#pragma once

#include "deployment.h"

namespace review {

/// A small deployment: a platform, nodes in three zones, and the clients' side. Runners are added by the
/// cases.
class scene
{
public:
    /// Writes record.txt into the case's folder. `names` are those of the machines, in order.
    scene(const std::string &caseFolder, std::vector<std::string> names);
    ~scene();

    /// Starts the platform with the first configuration. Returns false if the addresses can't be used.
    bool startPlatform();
    /// Adds a machine at another address; startNode() starts it.
    bool addNode(const std::string &name, std::size_t zone);
    bool startNode(std::size_t index);
    /// Starts all nodes and waits until all are ready, and ten seconds have passed.
    bool startNodes();
    edge_process &node(std::size_t index)
    {
        return *m_nodes.at(index);
    }
    std::size_t nodeCount() const
    {
        return m_nodes.size();
    }
    /// Adds a runner; hosts are numbered from 101.
    runner &addRunner(const std::string &id, const std::string &service, std::size_t zone);
    const std::string &host(std::size_t index) const;
    /// Sends a plain request and returns the answer; its status is 0 if the connection ended without one.
    http_message sendPlain(std::size_t index, const std::string &path, const std::string &id, int deadlineMs,
                           const std::string &body);

    record_file record;
    platform store;

    /// Prints and records the verdict, and returns the exit code.
    int broken(const std::string &text);
    int held(const std::string &text);
    static int impossible(const std::string &text);

private:
    std::string m_network;
    std::string m_folder;
    std::vector<std::string> m_names;
    std::vector<std::unique_ptr<edge_process>> m_nodes;
    std::vector<std::unique_ptr<runner>> m_runners;
};

} // namespace review
