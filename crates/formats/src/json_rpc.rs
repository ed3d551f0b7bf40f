//! JSON-RPC 2.0 messages, one JSON object per line.

use serde_json::{Value, json};

/// Receives the messages that [`dispatch_message`] parses.
pub trait MessageHandler {
    /// A response with a result; `id` is that of the request.
    fn on_result(&mut self, id: u64, result: &Value);
    /// A response with an error; `message` is the message of the error object.
    fn on_error(&mut self, id: u64, message: &str);
    /// A notification; `params` is null if it has none.
    fn on_notification(&mut self, method: &str, params: &Value);
}

/// Appends a request and its LF to `out`; null `params` are left out.
pub fn write_request(out: &mut Vec<u8>, id: u64, method: &str, params: Value) {
    let mut request = json!({"jsonrpc": "2.0", "id": id, "method": method});
    if !params.is_null() {
        request["params"] = params;
    }
    out.extend_from_slice(request.to_string().as_bytes());
    out.push(b'\n');
}

/// Parses one line and passes its message to `handler`; returns an error if the line is not a JSON-RPC message.
///
/// An object with a method is treated as a notification, even if it has an id.
pub fn dispatch_message(line: &[u8], handler: &mut impl MessageHandler) -> Result<(), &'static str> {
    let message: Value = serde_json::from_slice(line).map_err(|_| "not JSON")?;
    if let Some(method) = message.get("method") {
        let method = method.as_str().ok_or("method is not a string")?;
        handler.on_notification(method, message.get("params").unwrap_or(&Value::Null));
        return Ok(());
    }
    let id = message.get("id").and_then(Value::as_u64).ok_or("neither a method nor the id of a call")?;
    match (message.get("result"), message.get("error")) {
        (_, Some(error)) if !error.is_null() => {
            handler.on_error(id, error.get("message").and_then(Value::as_str).unwrap_or("no message"));
        }
        (Some(result), _) => handler.on_result(id, result),
        _ => return Err("neither a result nor an error"),
    }
    Ok(())
}
