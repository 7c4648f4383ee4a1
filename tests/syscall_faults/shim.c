/* Makes chosen system calls of a process fail or come short, for tests. Loaded with LD_PRELOAD.
 *
 * The rules lie in a file that the test and the process both map (its path is in
 * LAURELSTEP_SYSCALL_FAULTS; see shim.py for the same layout in Python). A rule that matches a call
 * decides it: with `error` set the call is not made and fails with that errno, else it is made with
 * at most `length` bytes. Calls are counted, never timed: the same rules give the same failures.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#define RULES 16
#define UNTIL_CLEARED (-1)

/* The values of `SystemCall` in shim.py. */
enum call { CALL_NONE, CALL_ACCEPT, CALL_SOCKET, CALL_CONNECT, CALL_READ, CALL_WRITE, CALL_WAIT, CALL_POLL };

struct rule {
    _Atomic int32_t call;      /* written last by the test: 0 switches the rule off */
    _Atomic int32_t family;    /* of the socket; 0 = any */
    _Atomic int32_t type;      /* of the socket, SOCK_STREAM or SOCK_DGRAM; 0 = any */
    _Atomic int32_t port;      /* its own or its peer's; 0 = any */
    _Atomic int32_t skip;      /* matching calls that are let through first */
    _Atomic int32_t remaining; /* calls that are still to be decided */
    _Atomic int32_t error;     /* errno; 0 = shorten instead */
    _Atomic int32_t length;    /* bytes a call may move at most; 0 = as many as it asks for */
    _Atomic int32_t hits;      /* calls decided so far */
};

static struct rule *rules;
static pthread_once_t once = PTHREAD_ONCE_INIT;

static void map_rules(void)
{
    const char *path = getenv("LAURELSTEP_SYSCALL_FAULTS");
    int fd = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (fd < 0)
        return;
    void *found = mmap(NULL, RULES * sizeof(struct rule), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
    close(fd);
    rules = found == MAP_FAILED ? NULL : found;
}

static int port_of(const struct sockaddr *address)
{
    if (address->sa_family == AF_INET)
        return ntohs(((const struct sockaddr_in *)address)->sin_port);
    if (address->sa_family == AF_INET6)
        return ntohs(((const struct sockaddr_in6 *)address)->sin6_port);
    return 0;
}

static int has_port(int fd, int port, const struct sockaddr *target)
{
    struct sockaddr_storage own, peer;
    socklen_t size = sizeof own;
    if (target != NULL && port_of(target) == port)
        return 1;
    if (getsockname(fd, (struct sockaddr *)&own, &size) == 0 && port_of((struct sockaddr *)&own) == port)
        return 1;
    size = sizeof peer;
    return getpeername(fd, (struct sockaddr *)&peer, &size) == 0 &&
           port_of((struct sockaddr *)&peer) == port;
}

static int option(int fd, int name)
{
    int value = -1;
    socklen_t size = sizeof value;
    return getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

/* Whether one of the rule's calls is left, and takes it. */
static int take(struct rule *one)
{
    int32_t left = atomic_load(&one->skip);
    while (left > 0)
        if (atomic_compare_exchange_weak(&one->skip, &left, left - 1))
            return 0;
    left = atomic_load(&one->remaining);
    while (left > 0)
        if (atomic_compare_exchange_weak(&one->remaining, &left, left - 1))
            return 1;
    return left == UNTIL_CLEARED;
}

/* The rule that decides this call, or NULL. `fd` is -1 where the call makes one; `family` and
 * `type` are looked up where they are 0. */
static struct rule *deciding(enum call call, int fd, int family, int type, const struct sockaddr *target)
{
    int saved = errno;
    struct rule *found = NULL;
    pthread_once(&once, map_rules);
    for (int n = 0; rules != NULL && n < RULES && found == NULL; n++) {
        struct rule *one = &rules[n];
        if (atomic_load(&one->call) != (int32_t)call)
            continue;
        int32_t wanted = atomic_load(&one->family);
        if (wanted != 0 && wanted != (family != 0 ? family : option(fd, SO_DOMAIN)))
            continue;
        wanted = atomic_load(&one->type);
        if (wanted != 0 && wanted != (type != 0 ? type : option(fd, SO_TYPE)))
            continue;
        wanted = atomic_load(&one->port);
        if (wanted != 0 && !has_port(fd, wanted, target))
            continue;
        if (take(one)) {
            atomic_fetch_add(&one->hits, 1);
            found = one;
        }
    }
    errno = saved;
    return found;
}

/* 1 if the call fails here, with errno set. */
static int fails(struct rule *one)
{
    int32_t error = one == NULL ? 0 : atomic_load(&one->error);
    if (error != 0)
        errno = error;
    return error != 0;
}

static size_t shortened(struct rule *one, size_t size)
{
    size_t most = one == NULL ? 0 : (size_t)atomic_load(&one->length);
    return most != 0 && most < size ? most : size;
}

#define REAL(name) \
    static __typeof__(&name) real; \
    if (real == NULL) \
        real = (__typeof__(&name))dlsym(RTLD_NEXT, #name)

int accept(int fd, struct sockaddr *address, socklen_t *size)
{
    REAL(accept);
    return fails(deciding(CALL_ACCEPT, fd, 0, 0, NULL)) ? -1 : real(fd, address, size);
}

int accept4(int fd, struct sockaddr *address, socklen_t *size, int flags)
{
    REAL(accept4);
    return fails(deciding(CALL_ACCEPT, fd, 0, 0, NULL)) ? -1 : real(fd, address, size, flags);
}

int socket(int family, int type, int protocol)
{
    REAL(socket);
    int kind = type & ~(SOCK_NONBLOCK | SOCK_CLOEXEC);
    return fails(deciding(CALL_SOCKET, -1, family, kind, NULL)) ? -1 : real(family, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t size)
{
    REAL(connect);
    return fails(deciding(CALL_CONNECT, fd, 0, 0, address)) ? -1 : real(fd, address, size);
}

ssize_t read(int fd, void *data, size_t size)
{
    REAL(read);
    struct rule *one = deciding(CALL_READ, fd, 0, 0, NULL);
    return fails(one) ? -1 : real(fd, data, shortened(one, size));
}

ssize_t recv(int fd, void *data, size_t size, int flags)
{
    REAL(recv);
    struct rule *one = deciding(CALL_READ, fd, 0, 0, NULL);
    return fails(one) ? -1 : real(fd, data, shortened(one, size), flags);
}

ssize_t recvfrom(int fd, void *data, size_t size, int flags, struct sockaddr *from, socklen_t *length)
{
    REAL(recvfrom);
    struct rule *one = deciding(CALL_READ, fd, 0, 0, NULL);
    return fails(one) ? -1 : real(fd, data, shortened(one, size), flags, from, length);
}

ssize_t recvmsg(int fd, struct msghdr *message, int flags)
{
    REAL(recvmsg);
    return fails(deciding(CALL_READ, fd, 0, 0, NULL)) ? -1 : real(fd, message, flags);
}

ssize_t write(int fd, const void *data, size_t size)
{
    REAL(write);
    struct rule *one = deciding(CALL_WRITE, fd, 0, 0, NULL);
    return fails(one) ? -1 : real(fd, data, shortened(one, size));
}

ssize_t send(int fd, const void *data, size_t size, int flags)
{
    REAL(send);
    struct rule *one = deciding(CALL_WRITE, fd, 0, 0, NULL);
    return fails(one) ? -1 : real(fd, data, shortened(one, size), flags);
}

ssize_t sendto(int fd, const void *data, size_t size, int flags, const struct sockaddr *to, socklen_t length)
{
    REAL(sendto);
    struct rule *one = deciding(CALL_WRITE, fd, 0, 0, to);
    return fails(one) ? -1 : real(fd, data, shortened(one, size), flags, to, length);
}

ssize_t sendmsg(int fd, const struct msghdr *message, int flags)
{
    REAL(sendmsg);
    struct rule *one = deciding(CALL_WRITE, fd, 0, 0, NULL);
    if (fails(one))
        return -1;
    if (one == NULL || atomic_load(&one->length) == 0 || message->msg_iovlen == 0)
        return real(fd, message, flags);
    struct msghdr part = *message;
    struct iovec first = message->msg_iov[0];
    first.iov_len = shortened(one, first.iov_len);
    part.msg_iov = &first;
    part.msg_iovlen = 1;
    return real(fd, &part, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    REAL(writev);
    struct rule *one = deciding(CALL_WRITE, fd, 0, 0, NULL);
    if (fails(one))
        return -1;
    if (one == NULL || atomic_load(&one->length) == 0 || count == 0)
        return real(fd, parts, count);
    return write(fd, parts[0].iov_base, shortened(one, parts[0].iov_len));
}

int epoll_wait(int fd, struct epoll_event *events, int most, int timeout)
{
    REAL(epoll_wait);
    return fails(deciding(CALL_WAIT, fd, 0, 0, NULL)) ? -1 : real(fd, events, most, timeout);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int timeout, const sigset_t *mask)
{
    REAL(epoll_pwait);
    return fails(deciding(CALL_WAIT, fd, 0, 0, NULL)) ? -1 : real(fd, events, most, timeout, mask);
}

int poll(struct pollfd *found, nfds_t count, int timeout)
{
    REAL(poll);
    return fails(deciding(CALL_POLL, -1, 0, 0, NULL)) ? -1 : real(found, count, timeout);
}
