-- SQL functions that catkinrelay calls on each database (docs/design.md, section 2.3).
--
-- STATE: written for PostgreSQL 16 with physical streaming replication and NOT RUN against PostgreSQL.
-- The project's tests run against the stand-in in stand-ins/database, which implements the same functions.
-- The comment of each function marked "best mapping" says how the function differs from the stand-in.
--
-- Installation: run this file as a superuser on the primary. Replication copies the objects to the replicas,
-- which PostgreSQL calls standbys. In the postgresql.conf of each database set
--   catkinrelay.database = '<name of this database in announcements>'
--   catkinrelay.replication_user = '<user of primary_conninfo>'
--   include_if_exists = 'catkinrelay.conf'
-- and grant the role catkinrelay_system to the login of the entry and control instances.
--
-- Positions: a position consists of the term of the last promotion that the database has replayed and, as
-- offset, the WAL location in bytes. The stand-in counts log entries instead. Both only grow within a term.
--
-- Local state: a replica can't write tables, so each database keeps its fence in the file catkinrelay.fence
-- of the data directory. COPY does not sync the file: a crash of the operating system can lose a fence.
--
-- Callers' statements run under the same login. The check of callers' statements must therefore refuse
-- every statement that names the schema catkinrelay or calls set_config.

begin;

create schema catkinrelay;
create role catkinrelay_system nologin;

-- One row for each promotion. A replica reads the term of its primary from the rows that it has replayed.
create table catkinrelay.promotions (
  term bigint primary key,
  promoted_at timestamptz not null default now()
);
insert into catkinrelay.promotions (term) values (1);

-- Answers by idempotency key. The transaction of a request also writes the request's answer.
create table catkinrelay.answers (
  workspace text not null,
  idempotency_key text not null,
  request_digest text not null,
  answer text not null,
  recorded_at timestamptz not null default now(),
  primary key (workspace, idempotency_key)
);
create index answers_recorded_at on catkinrelay.answers (recorded_at);

-- Key of an advisory lock. The transaction of each request holds it in shared mode until it ends; a fence takes it exclusively.
create function catkinrelay.fence_lock() returns bigint
language sql immutable as $$ select 5263941827::bigint $$;

create function catkinrelay.current_term() returns bigint
language sql stable security definer set search_path = pg_catalog as $$
  select coalesce(max(term), 0) from catkinrelay.promotions
$$;

create function catkinrelay.current_fence() returns bigint
language sql volatile security definer set search_path = pg_catalog as $$
  select coalesce(nullif(trim(pg_read_file('catkinrelay.fence', true)), '')::bigint, 0)
$$;

-- Best mapping: COPY TO a file is the only write that a replica allows. COPY requires an absolute path.
create function catkinrelay.write_local_file(name text, content text) returns void
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  execute format('copy (select %L) to %L', content, current_setting('data_directory') || '/' || name);
end
$$;

-- Best mapping: a replica without a WAL receiver reports the time since its last replayed transaction, which
-- is longer than the true age when the primary was idle. A replica with a receiver reports the time since the
-- receiver's last message, or since its last replayed transaction if that is longer and received WAL is not replayed yet.
create function catkinrelay.current_age_ms() returns bigint
language sql volatile security definer set search_path = pg_catalog as $$
  select case
    when not pg_is_in_recovery() then 0
    else coalesce((
      select ceil(1000 * greatest(
        extract(epoch from clock_timestamp() - receiver.last_msg_receipt_time),
        case when pg_last_wal_replay_lsn() < receiver.flushed_lsn
          then extract(epoch from clock_timestamp() - pg_last_xact_replay_timestamp())
          else 0
        end
      ))::bigint
      from pg_stat_wal_receiver receiver
      where receiver.status = 'streaming'
    ), ceil(1000 * extract(epoch from clock_timestamp() - pg_last_xact_replay_timestamp()))::bigint, 2147483647)
  end
$$;

create type catkinrelay.status_row as (
  database text, incarnation text, role text, term bigint, fenced_term bigint,
  position_term bigint, position_offset bigint, age_ms bigint
);

-- The incarnation is the start time of PostgreSQL, since positions known from before a restart are void.
-- A replica reports the position that it has replayed, since reads on it return nothing later.
create function catkinrelay.status()
returns setof catkinrelay.status_row
language sql volatile security definer set search_path = pg_catalog as $$
  select
    current_setting('catkinrelay.database'),
    extract(epoch from pg_postmaster_start_time())::text,
    case when pg_is_in_recovery() then 'replica' else 'primary' end,
    catkinrelay.current_term(),
    catkinrelay.current_fence(),
    catkinrelay.current_term(),
    pg_wal_lsn_diff(case when pg_is_in_recovery() then pg_last_wal_replay_lsn() else pg_current_wal_insert_lsn() end, '0/0')::bigint,
    catkinrelay.current_age_ms()
$$;

-- Best mapping: polls every 5 ms, since PostgreSQL has no event for replayed WAL.
create function catkinrelay.wait_status(after_term bigint, after_offset bigint, wait_ms int)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
declare
  deadline timestamptz := clock_timestamp() + wait_ms * interval '1 millisecond';
  first_row catkinrelay.status_row;
  latest catkinrelay.status_row;
begin
  select * into first_row from catkinrelay.status();
  loop
    select * into latest from catkinrelay.status();
    exit when (latest.position_term, latest.position_offset) > (after_term, after_offset)
      or (latest.role, latest.term, latest.fenced_term) is distinct from (first_row.role, first_row.term, first_row.fenced_term)
      or clock_timestamp() >= deadline;
    perform pg_sleep(0.005);
  end loop;
  return next latest;
end
$$;

-- The advisory lock on the key makes a second request with the same key wait for the first one.
create function catkinrelay.begin_request(workspace text, term bigint, idempotency_key text, request_digest text)
returns table (answer text)
language plpgsql volatile security definer set search_path = pg_catalog as $$
declare
  recorded record;
begin
  if workspace is distinct from current_setting('catkinrelay.workspace', true) then
    raise exception 'the request belongs to another workspace than the connection' using errcode = '42501';
  end if;
  perform pg_advisory_xact_lock_shared(catkinrelay.fence_lock());
  if pg_is_in_recovery() or catkinrelay.current_term() <> term or catkinrelay.current_fence() > term then
    raise exception 'the database is not the primary of term %', term using errcode = 'CR001';
  end if;
  if idempotency_key is null then
    return query select null::text;
    return;
  end if;
  perform pg_advisory_xact_lock(hashtextextended(workspace || chr(1) || idempotency_key, 0));
  select a.request_digest, a.answer into recorded
    from catkinrelay.answers a
    where a.workspace = begin_request.workspace and a.idempotency_key = begin_request.idempotency_key;
  if found and recorded.request_digest is distinct from begin_request.request_digest then
    raise exception 'the idempotency key was used with another request' using errcode = 'CR002';
  end if;
  perform set_config('catkinrelay.request_key', idempotency_key, true);
  perform set_config('catkinrelay.request_digest', request_digest, true);
  return query select recorded.answer;
end
$$;

create function catkinrelay.finish_request(idempotency_key text, answer text) returns void
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  if idempotency_key is distinct from current_setting('catkinrelay.request_key', true) then
    raise exception 'finish_request needs the idempotency key of begin_request in the same transaction' using errcode = '55000';
  end if;
  insert into catkinrelay.answers (workspace, idempotency_key, request_digest, answer)
    values (current_setting('catkinrelay.workspace'), idempotency_key, current_setting('catkinrelay.request_digest'), answer);
end
$$;

-- Best mapping of "a fenced database accepts no writes": the function ends all transactions that called begin_request
-- before it returns, and begin_request refuses later ones. It does not stop other write transactions of the database.
-- Best mapping of "a fenced database accepts no replication": an empty primary_conninfo stops the WAL receiver.
create function catkinrelay.fence(term bigint)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  if catkinrelay.current_fence() > fence.term then
    raise exception 'the database is fenced for term %', catkinrelay.current_fence() using errcode = 'CR003';
  end if;
  perform catkinrelay.write_local_file('catkinrelay.fence', fence.term::text);
  if pg_is_in_recovery() then
    perform catkinrelay.write_local_file('catkinrelay.conf', 'primary_conninfo = ''''');
    perform pg_reload_conf();
  elsif fence.term > catkinrelay.current_term() then
    perform pg_terminate_backend(lock.pid)
      from pg_locks lock
      where lock.locktype = 'advisory' and lock.objsubid = 1 and lock.mode = 'ShareLock'
        and (lock.classid::bigint << 32 | lock.objid::bigint) = catkinrelay.fence_lock()
        and lock.pid <> pg_backend_pid();
    -- Waits until the transactions have ended. One that was committing may still have committed.
    perform pg_advisory_lock(catkinrelay.fence_lock());
    perform pg_advisory_unlock(catkinrelay.fence_lock());
  end if;
  return query select * from catkinrelay.status();
end
$$;

-- Best mapping: the function records the promotion in the table once the database accepts writes. A crash in between
-- leaves a primary that still reports its former term and refuses requests with CR001 until it is promoted again.
create function catkinrelay.promote(term bigint)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
begin
  if catkinrelay.current_fence() <> promote.term then
    raise exception 'the database is fenced for term %, not for term %', catkinrelay.current_fence(), promote.term using errcode = 'CR003';
  end if;
  if pg_is_in_recovery() then
    perform pg_promote(true, 60);
    -- The transaction of this call began during recovery and stays read-only, so the caller has to repeat the call.
    raise exception 'the server was promoted; call promote again to record term %', promote.term using errcode = 'CR001';
  end if;
  insert into catkinrelay.promotions (term) values (promote.term) on conflict do nothing;
  return query select * from catkinrelay.status();
end
$$;

-- Best mapping: the function makes a replica follow another primary of the same or a later timeline. PostgreSQL can't
-- discard WAL that the new primary lacks while it runs. The operator has to run pg_rewind on a former primary, for which
-- the call fails with 0A000, and on a replica that is ahead of the new primary.
create function catkinrelay.follow(term bigint, primary_address text)
returns setof catkinrelay.status_row
language plpgsql volatile security definer set search_path = pg_catalog as $$
declare
  parts text[] := regexp_match(primary_address, '^([0-9a-zA-Z.:-]+):([0-9]+)$');
begin
  if follow.term < catkinrelay.current_fence() or follow.term < catkinrelay.current_term() then
    raise exception 'the database does not follow term %', follow.term using errcode = 'CR003';
  end if;
  if parts is null then
    raise exception 'invalid address: "%"', primary_address using errcode = '22P02';
  end if;
  if not pg_is_in_recovery() then
    raise exception 'a former primary must be rewound with pg_rewind before it can follow' using errcode = '0A000';
  end if;
  perform catkinrelay.write_local_file('catkinrelay.conf', format(
    'primary_conninfo = ''host=%s port=%s user=%s''', parts[1], parts[2], current_setting('catkinrelay.replication_user')));
  perform pg_reload_conf();
  return query select * from catkinrelay.status();
end
$$;

revoke all on all functions in schema catkinrelay from public;
grant usage on schema catkinrelay to catkinrelay_system;
grant execute on function
  catkinrelay.status(), catkinrelay.wait_status(bigint, bigint, int),
  catkinrelay.begin_request(text, bigint, text, text), catkinrelay.finish_request(text, text),
  catkinrelay.fence(bigint), catkinrelay.promote(bigint), catkinrelay.follow(bigint, text)
to catkinrelay_system;

commit;
