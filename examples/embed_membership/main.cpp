// Starts three members in one process, which discover each other over loopback and split jobs between them,
// and split them again after one has left. Exits with 0 if all members agreed on the owners both times, with
// 1 if they didn't, and with 4 if an address is in use.

#include "base/event_loop.h"
#include "base/log_event.h"
#include "http/server.h"
#include "membership/exchange_membership.h"
#include "work_splitter.h"

#include <algorithm>
#include <iostream>
#include <set>
#include <unistd.h>

namespace {

using namespace ivypier;

constexpr duration check_interval = std::chrono::milliseconds(50);
constexpr duration agreement_timeout = std::chrono::seconds(30);
constexpr std::uint16_t port = 7990;

/// A member with its HTTP server. A real program has one of these, this example has three.
class embedded_member
{
public:
    embedded_member(event_loop &loop, const secret_key &fleetKey, int number)
        : m_peerClient(loop, std::make_shared<http::client>(), fleetKey)
        , m_peerServer(loop, fleetKey)
        , m_members(loop, m_peerClient, m_peerServer, describe(number), seeds())
    {
        auto listening
            = http::server::listen({.address = addressOf(number)},
                                   [this](http::request incoming, std::shared_ptr<http::responder> caller) {
                                       m_peerServer.handle(std::move(incoming), std::move(caller));
                                   });
        if (listening)
            m_server = std::move(listening.value());
        m_members.start();
    }

    bool isListening() const
    {
        return m_server != nullptr;
    }

    membership::membership_view &view()
    {
        return m_members;
    }

private:
    static endpoint addressOf(int number)
    {
        const int process = getpid() % (100 * 256); // loopback network derived from the process id
        return {"127." + std::to_string(130 + process / 256) + '.' + std::to_string(process % 256) + '.'
                    + std::to_string(number),
                port};
    }

    static std::vector<endpoint> seeds()
    {
        return {addressOf(1), addressOf(2), addressOf(3)};
    }

    static membership::member describe(int number)
    {
        membership::member self;
        self.id = static_cast<membership::incarnation>(number); // a real program uses a random number
        self.name = "member-" + std::to_string(number);
        self.address = addressOf(number);
        self.gossipAddress = self.address;
        self.failureDomain = "hall-" + std::string(1, static_cast<char>('a' + number - 1));
        self.region = "local";
        return self;
    }

    rpc::http_peer_client m_peerClient;
    rpc::peer_server m_peerServer;
    membership::exchange_membership m_members;
    std::unique_ptr<http::server> m_server;
};

/// Returns the owner of each job according to one member.
std::vector<std::string> ownersSeenBy(membership::membership_view &view)
{
    const embed_membership::work_splitter splitter(view);
    std::vector<std::string> owners;
    for (int job = 0; job < 12; ++job) {
        const auto owner = splitter.ownerOf("job-" + std::to_string(job));
        owners.push_back(owner ? owner->name : "nobody");
    }
    return owners;
}

/// Runs the loop until all members agree on the owners of the jobs and there are `count` of them. Returns
/// false after agreement_timeout.
bool waitForAgreement(event_loop &loop, std::vector<std::unique_ptr<embedded_member>> &fleet,
                      std::size_t count)
{
    const time_point deadline = loop.now() + agreement_timeout;
    bool agreed = false;
    std::function<void()> check = [&] {
        const std::vector<std::string> first = ownersSeenBy(fleet.front()->view());
        const bool same = std::all_of(fleet.begin(), fleet.end(),
                                      [&](const auto &each) { return ownersSeenBy(each->view()) == first; });
        agreed = same && std::set<std::string>(first.begin(), first.end()).size() == count;
        if (agreed || loop.now() > deadline)
            loop.stop();
        else
            loop.after(check_interval, check);
    };
    loop.post(check);
    loop.run();
    std::cout << (agreed ? "agreed: " : "not agreed: ");
    for (const std::string &each : ownersSeenBy(fleet.front()->view()))
        std::cout << each << ' ';
    std::cout << '\n';
    return agreed;
}

} // namespace

int main()
{
    configureLog("embed-membership", log_level::warning);
    const outcome<secret_key> key = secret_key::fromPassphrase("a key that only this fleet has");
    event_loop loop;
    std::vector<std::unique_ptr<embedded_member>> fleet;
    for (int number = 1; number <= 3; ++number) {
        fleet.push_back(std::make_unique<embedded_member>(loop, key.value(), number));
        if (!fleet.back()->isListening()) {
            std::cerr << "embed-membership: an address is taken\n";
            return 4;
        }
    }
    if (!waitForAgreement(loop, fleet, 3))
        return 1;
    fleet.back()->view().leave();
    return waitForAgreement(loop, fleet, 2) ? 0 : 1;
}
