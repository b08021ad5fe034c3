//! Guards the reading of the rows that close halls: complete reads, changes, and rows that other
//! programs wrote.

use std::net;
use std::time;

use hyper::StatusCode;
use wharflane::{id, job, rows};
use wharflane_adapter::{config, halls, store};
use wharflane_daemon::jobs::halls as closed;
use wharflane_http::{reply, server};
use wharflane_stand_in::cases;

/// Returns a row of the operator's table.
fn row(name: &str, part: &str, gone: bool) -> rows::Row {
    let value = (!gone).then(|| "{}".to_owned());
    rows::Row { name: name.to_owned(), part: part.to_owned(), version: 7, value, gone }
}

/// Returns a page of rows at a version.
fn page(version: u64, rows: Vec<rows::Row>) -> rows::Page {
    rows::Page { rows, version, ..rows::Page::default() }
}

/// Returns the closed halls that a read at a version is expected to give.
fn closed_halls(version: u64, names: &[&str]) -> job::ClosedHalls {
    job::ClosedHalls { version, halls: names.iter().map(|name| id::HallId::from(*name)).collect() }
}

/// Starts a server that answers every call with the same text.
async fn start_server(text: &'static str) -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(server::serve(
        listener,
        server::Bounds::default(),
        server::never(),
        move |_| async move { reply::text(StatusCode::OK, text.to_owned()) },
    ));
    addr
}

cases! {
    a_complete_read_lists_all_closed_halls => {
        let rows = vec![
            row(config::CONFIG_KEY, "", false),
            row("evacuate/north", "", false),
            row("evacuate/south", "", false),
        ];
        assert_eq!(closed::read_all(&page(9, rows)), closed_halls(9, &["north", "south"]));
    },
    changes_close_and_open_halls => {
        let before = closed_halls(3, &["north"]);
        let rows = vec![row("evacuate/north", "", true), row("evacuate/south", "", false)];
        assert_eq!(closed::apply_changes(&before, &page(4, rows)), closed_halls(4, &["south"]));
    },
    the_last_change_of_a_row_counts => {
        let changes = [false, true, false].map(|gone| row("evacuate/north", "", gone));
        assert_eq!(closed::apply_changes(&closed_halls(1, &[]), &page(2, changes.to_vec())), closed_halls(2, &["north"]));
        let changes = [false, true].map(|gone| row("evacuate/north", "", gone));
        assert_eq!(closed::apply_changes(&closed_halls(1, &[]), &page(2, changes.to_vec())), closed_halls(2, &[]));
    },
    a_hall_without_a_row_is_open_after_a_complete_read => {
        assert_eq!(closed::read_all(&page(12, vec![row(config::CONFIG_KEY, "", false)])), closed_halls(12, &[]));
    },
    rows_of_other_parts_or_without_a_hall_close_nothing => {
        let rows = vec![
            row("evacuate/north", "elsewhere", false),
            row("evacuate/", "", false),
            row("evacuate", "", false),
            row("evacuated/north", "", false),
            row("wave/1", "", false),
        ];
        assert_eq!(closed::read_all(&page(2, rows)), closed_halls(2, &[]));
    },
    a_row_with_a_binary_value_closes_its_hall => {
        let runtime = tokio::runtime::Runtime::new().expect("a runtime");
        let read = runtime.block_on(async {
            let text = r#"{"rows":[{"part":"","tls_key":"evacuate/north","value":"/w==","ver":4},
                {"part":"","tls_key":"evacuate/south","value":"","ver":5,"gone":true},
                {"part":"","tls_key":"evacuate/west","ver":6}],"ver":6}"#;
            let store = store::Store::new(start_server(text).await, time::Duration::from_secs(5));
            let keys = (halls::FIRST_KEY, halls::END_KEY);
            store.read_range(config::OPERATOR_TABLE, config::EXTERNAL_PART, keys).await.expect("rows")
        });
        assert_eq!(closed::read_all(&read), closed_halls(6, &["north", "west"]));
    },
    a_key_parses_back_to_its_hall => {
        let key = halls::key(&"north".into());
        assert_eq!(halls::closed_hall(&row(&key.name, &key.part, false)), Some("north".into()));
        assert!(key.name.as_str() >= halls::FIRST_KEY && key.name.as_str() < halls::END_KEY);
    },
}
