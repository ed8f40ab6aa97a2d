// The open connections of an HTTP client, and the process to which each leads.
//
// A connection ends with the process at its other end, and so never leads to a
// later process at the same address. A new one may lead to any.
//
//     table.open(socket);
//     auto number = table.begin_use(socket, server, local_port); // a request
//     table.set_process(number, process);           // as its answer named it
//     table.end_use(number);
//     table.count_free(server, process);
//     table.close(socket);
#ifndef FIGRIDGE_ADAPTERS_CONNECTION_TABLE_HPP
#define FIGRIDGE_ADAPTERS_CONNECTION_TABLE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace figridge {

// Owned by an `http_client`. Not thread-safe.
class connection_table {
public:
    // A socket was created. Precondition: it is not in the table. Not
    // thread-safe.
    void open(int socket);
    // The socket is about to be closed; ignored if it is not in the table. Not
    // thread-safe.
    void close(int socket);
    // A request is sent to the server (ip:port) on the connection with this
    // local port: that of `opened`, if the socket was created for this request,
    // or one that was used before. Returns the number of the connection, which
    // no other one has, or 0 if it is not known. Not thread-safe.
    std::uint64_t begin_use(std::optional<int> opened,
                            const std::string& server, int local_port);
    // The answer to that request was read, or is not waited for. Ignored if the
    // connection was closed. Not thread-safe.
    void end_use(std::uint64_t number);
    // The process at the other end. Ignored if the connection was closed. Not
    // thread-safe.
    void set_process(std::uint64_t number, std::int64_t process);

    // Empty if it is not known. Not thread-safe.
    [[nodiscard]] std::optional<std::int64_t>
    process_of(std::uint64_t number) const;
    // The connections to this process of the server that are not in use. One
    // that the other end has closed counts until it is closed here. Not
    // thread-safe.
    [[nodiscard]] std::size_t count_free(const std::string& server,
                                         std::int64_t process) const;

private:
    struct connection {
        std::string server; // empty until a request is sent
        int local_port = 0;
        std::optional<std::int64_t> process;
        bool in_use = false;
    };

    std::uint64_t next_number_ = 1;
    std::map<std::uint64_t, connection> connections_;
    std::map<int, std::uint64_t> by_socket_;
    // By server and local port.
    std::map<std::string, std::map<int, std::uint64_t>> by_port_;
};

} // namespace figridge

#endif
